#!/usr/bin/env python3
"""Checks what the pages name against the tree.

    tools/checks/check_pages.py [ROOT]

In README.md, CONTRIBUTING.md and the pages under docs: each relative link leads to a file; each
backticked path that begins with a folder of the project exists (`*` as a shell reads it); each
backticked `Type::member` names identifiers of the sources; each backticked `suite.test` is a test
(`suite.begins_with_...`, `suite.begins_with_*` and `suite.*` one at least). Fenced blocks are left
out, and so are pages that tell of the past, whose names are those of their time. Exits with 1 and
one line for each violation.
"""
import pathlib
import re
import sys

from check_glossary import QUALIFIED, read_identifiers

HISTORY = ("docs/rounds.md", "docs/incidents/")
FOLDERS = (".ci/", "deploy/", "docs/", "src/", "tests/", "tools/")
FENCE = re.compile(r"^```.*?^```$", re.DOTALL | re.MULTILINE)
TEST = re.compile(r"^Test\((\w+),\s*(\w+)", re.MULTILINE)
# A suite, and a name of three words or more, a beginning of one, or a star alone.
NAMED_TEST = re.compile(r"([a-z]\w*)\.(\*|\w+(?:\.\.\.|\*)|\w+_\w+_\w+)")
SETTINGS = ("can_lose", "limits", "listens_on", "options", "provider_api", "time_bounds")
LINK = re.compile(r"\]\(([^)#\s]+)(?:#[^)]*)?\)")
TICKED = re.compile(r"`([^`\n]+)`")


def read_pages(root):
    pages = [root / "README.md", root / "CONTRIBUTING.md", *sorted((root / "docs").rglob("*.md"))]
    for page in pages:
        name = str(page.relative_to(root))
        if page.is_file() and not name.startswith(HISTORY):
            yield name, page, FENCE.sub(lambda match: "\n" * match[0].count("\n"),
                                        page.read_text(encoding="utf-8"))


def check_link(root, page, target):
    if re.match(r"[a-z]+:", target):
        return None
    found = (page.parent / target).resolve()
    return None if found.exists() and found.is_relative_to(root) else f"dead link: {target}"


def read_tests(root):
    return [
        f"{suite}.{name}"
        for path in sorted((root / "tests").rglob("*.cpp"))
        for suite, name in TEST.findall(path.read_text(encoding="utf-8"))
    ]


def check_test(text, tests):
    start = text.rstrip("*.") if text.endswith(("*", "...")) else None
    if text.endswith(".*"):
        start += "."
    exists = text in tests if start is None else any(test.startswith(start) for test in tests)
    return None if exists else f"no such test: {text}"


def check_ticked(root, text, known, tests):
    """Returns what is wrong with one backticked text, or None."""
    if text.startswith(FOLDERS) and re.fullmatch(r"[\w./*-]+", text):
        return None if any(root.glob(text.rstrip("/"))) else f"no such file: {text}"
    if "::" in text and QUALIFIED.fullmatch(text) and not text.startswith("std::"):
        missing = [part for part in text.split("::") if part not in known]
        return f"`{text}`: no such name: {', '.join(missing)}" if missing else None
    named_test = NAMED_TEST.fullmatch(text)
    if named_test and named_test[1] not in SETTINGS:
        return check_test(text, tests)
    return None


def main():
    if len(sys.argv) > 2:
        print("usage: check_pages.py [ROOT]", file=sys.stderr)
        return 2
    default_root = pathlib.Path(__file__).parents[2]
    root = pathlib.Path(sys.argv[1] if len(sys.argv) == 2 else default_root).resolve()
    known, tests = set().union(*read_identifiers(root).values()), read_tests(root)
    errors, pages = [], 0
    for name, page, text in read_pages(root):
        pages += 1
        for number, line in enumerate(text.splitlines(), 1):
            found = [check_link(root, page, target) for target in LINK.findall(line)]
            found += [check_ticked(root, ticked, known, tests) for ticked in TICKED.findall(line)]
            errors += [f"{name}:{number}: {error}" for error in found if error]
    if not pages:
        errors.append(f"{root}: no pages")
    for error in errors:
        print(error)
    print(f"{pages} pages: {len(errors)} errors")
    return 1 if errors else 0


if __name__ == "__main__":
    sys.exit(main())

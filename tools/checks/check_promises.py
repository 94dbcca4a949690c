#!/usr/bin/env python3
"""Checks the table of docs/promises.md against the tree.

    tools/checks/check_promises.py [ROOT]

In each row the code exists; the invariants exist in src/state/invariants.h, and each of those
stands in some row; each `soak:kind` is a trouble of tools/soak/troubles.py and each `check_...` one
of the soak's checkers; a row names a test, a trouble, a check, the model or the bench, or says
"open". That the tests exist is checked by check_pages.py, which reads this page too. Exits with 1
and one line for each violation.
"""
import pathlib
import re
import sys

ROW = re.compile(r"^\| (?!promise |---)(.+) \|$", re.MULTILINE)
INVARIANTS = re.compile(r"^enum class Invariant \{(.*?)^\};", re.DOTALL | re.MULTILINE)
TICKED = re.compile(r"`([^`]+)`")
KINDS = re.compile(r"^\w+_KINDS = \((.*?)\)", re.DOTALL | re.MULTILINE)
DRIVER = re.compile(r"`[a-z_]+\.[a-z_0-9]+`|`soak:|checker `|\bmodel\b|\bbench\b|\bopen\b")
COLUMNS = 5


def read_invariants(root):
    body = INVARIANTS.search((root / "src/state/invariants.h").read_text(encoding="utf-8"))[1]
    return set(re.findall(r"^  (\w+),$", body, re.MULTILINE))


def read_troubles(root):
    text = (root / "tools/soak/troubles.py").read_text(encoding="utf-8")
    return {kind for body in KINDS.findall(text) for kind in re.findall(r'"(\w+)"', body)}


def read_checks(root):
    texts = [path.read_text(encoding="utf-8") for path in root.glob("tools/soak/*checker.py")]
    return {name for text in texts for name in re.findall(r"^def (check_\w+)", text, re.MULTILINE)}


def check_row(root, cells, invariants, troubles, checks):
    """Yields what is wrong with one row."""
    if len(cells) != COLUMNS:
        yield f"{len(cells)} columns instead of {COLUMNS}"
        return
    _, _, code, guards, driver = cells
    for path in TICKED.findall(code):
        if not (root / path).is_file():
            yield f"no such file: {path}"
    if not TICKED.findall(code):
        yield "no code named"
    for name in TICKED.findall(guards):
        if name not in invariants:
            yield f"no such invariant: {name}"
    for name in TICKED.findall(driver):
        if name.startswith("soak:") and name.removeprefix("soak:") not in troubles:
            yield f"no such trouble: {name}"
        if name.startswith("check_") and name not in checks:
            yield f"no such check: {name}"
    if not DRIVER.search(driver):
        yield "nothing drives it, and it does not say open"


def main():
    if len(sys.argv) > 2:
        print("usage: check_promises.py [ROOT]", file=sys.stderr)
        return 2
    default_root = pathlib.Path(__file__).parents[2]
    root = pathlib.Path(sys.argv[1] if len(sys.argv) == 2 else default_root).resolve()
    text = (root / "docs/promises.md").read_text(encoding="utf-8")
    invariants, troubles, checks = read_invariants(root), read_troubles(root), read_checks(root)
    errors, named, rows, open_rows = [], set(), 0, 0
    for row in ROW.findall(text):
        cells = [cell.strip() for cell in row.split(" | ")]
        rows += 1
        open_rows += "open" in cells[-1]
        named |= set(TICKED.findall(cells[3])) if len(cells) == COLUMNS else set()
        errors += [f"{cells[0]}, {cells[1] if len(cells) > 1 else ''}: {error}"
                   for error in check_row(root, cells, invariants, troubles, checks)]
    errors += [f"no row names the invariant {name}" for name in sorted(invariants - named)]
    for error in errors:
        print(error)
    print(f"{rows} rows of promises, {open_rows} with something open, "
          f"{len(invariants)} invariants: {len(errors)} errors")
    return 1 if errors or not rows else 0


if __name__ == "__main__":
    sys.exit(main())

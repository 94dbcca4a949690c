#!/usr/bin/env python3
"""Checks the tables of docs/glossary.md against the sources.

    tools/checks/check_glossary.py [ROOT]

Every row has five cells: word, standard term, C++ name, meaning, file. Each file named exists; each
C++ name (every part of `Type::member`) is an identifier in one of the files of its row, outside of
comments and string literals; a row without a C++ name says `none`. Within a table each word stands
once. Exits with 1 and one line for each violation.
"""
import pathlib
import re
import sys

HEADER = ["word", "standard term", "C++ name", "meaning", "file"]
NO_NAME = "none"
SOURCE_FOLDERS = ("src", "tests", "tools")
SOURCE_SUFFIXES = (".h", ".cpp")
TICKED = re.compile(r"`([^`]+)`")
QUALIFIED = re.compile(r"[A-Za-z_]\w*(::[A-Za-z_]\w*)*")
IDENTIFIER = re.compile(r"[A-Za-z_]\w*")
NOT_CODE = re.compile(
    r'R"([^\s(]*)\(.*?\)\1"|"(?:\\.|[^"\\\n])*"|\'(?:\\.|[^\'\\\n])\'|//[^\n]*|/\*.*?\*/|'
    r"#include[^\n]*", re.DOTALL)


def read_identifiers(root):
    """Returns the identifiers of each source file by its path from the root."""
    return {
        str(path.relative_to(root)):
            set(IDENTIFIER.findall(NOT_CODE.sub(" ", path.read_text(encoding="utf-8"))))
        for folder in SOURCE_FOLDERS
        for path in sorted((root / folder).rglob("*"))
        if path.suffix in SOURCE_SUFFIXES
    }


def read_tables(text):
    """Yields (line number, cells, is_header) of every table row but the rulers."""
    for number, line in enumerate(text.splitlines(), 1):
        if not line.startswith("|"):
            continue
        cells = [cell.strip() for cell in line.strip().strip("|").split("|")]
        if not all(re.fullmatch(r":?-+:?", cell) for cell in cells):
            yield number, cells, cells[0] == HEADER[0]


def check_name(name, files, identifiers):
    """Returns what is wrong with one C++ name of a row, or None."""
    if not QUALIFIED.fullmatch(name):
        return f"`{name}` is not a C++ name"
    parts = name.split("::")
    if any(identifiers.get(file, set()).issuperset(parts) for file in files):
        return None
    places = [file for file, known in identifiers.items() if known.issuperset(parts)]
    if not places:
        return f"`{name}` does not exist"
    headers = [file for file in places if file.endswith(".h")] or places
    return f"`{name}` is in none of the row's files; found in: {', '.join(headers[:5])}"


def check_row(cells, root, identifiers):
    word, term, names_cell, meaning, files_cell = cells
    errors = [f"{title} is empty" for title, cell in zip(HEADER, cells) if not cell]
    files = TICKED.findall(files_cell)
    if not files:
        errors.append("names no file")
    errors += [f"no such file: {file}" for file in files if not (root / file).is_file()]
    names = TICKED.findall(names_cell)
    if not names and names_cell != NO_NAME:
        errors.append(f"has neither a C++ name nor `{NO_NAME}`")
    errors += filter(None, (check_name(name, files, identifiers) for name in names))
    return errors


def check_glossary(root, glossary, identifiers):
    errors, words, rows = [], set(), 0
    for number, cells, is_header in read_tables(glossary.read_text(encoding="utf-8")):
        place = f"{glossary.relative_to(root)}:{number}"
        if is_header:
            words = set()
            if cells != HEADER:
                errors.append(f"{place}: the columns are not {', '.join(HEADER)}")
            continue
        rows += 1
        if len(cells) != len(HEADER):
            errors.append(f"{place}: {len(cells)} cells instead of {len(HEADER)}")
            continue
        if cells[0] in words:
            errors.append(f"{place}: {cells[0]}: stands twice in its table")
        words.add(cells[0])
        errors += [f"{place}: {cells[0]}: {error}"
                   for error in check_row(cells, root, identifiers)]
    if not rows:
        errors.append(f"{glossary.relative_to(root)}: no rows")
    return errors, rows


def main():
    if len(sys.argv) > 2:
        print("usage: check_glossary.py [ROOT]", file=sys.stderr)
        return 2
    default_root = pathlib.Path(__file__).parents[2]
    root = pathlib.Path(sys.argv[1] if len(sys.argv) == 2 else default_root).resolve()
    errors, rows = check_glossary(root, root / "docs" / "glossary.md", read_identifiers(root))
    for error in errors:
        print(error)
    print(f"glossary of {rows} rows: {len(errors)} errors")
    return 1 if errors else 0


if __name__ == "__main__":
    sys.exit(main())

#!/usr/bin/env python3
"""Checks that includes between the layers under src go downward, and that there is no circle.

    tools/checks/check_includes.py [ROOT]

The layer of a file is the first folder under src; files in src itself are the main program. A file
may include its own layer and lower ones. Exits with 1 and one line for each violation.
"""
import pathlib
import re
import sys

# Lowest first; folders in one row may include each other.
LAYERS = [
    ["state"],
    ["transport"],
    ["protocol"],
    ["coordination"],
    ["process", "control_client"],
    ["registry", "broker", "pooler", "commands"],
]
MAIN_RANK = len(LAYERS)
RANKS = {folder: rank for rank, row in enumerate(LAYERS) for folder in row}

# Known upward includes: (including file, included file): reason. One that no longer occurs is an
# error.
KNOWN_UPWARD = {}

SOURCE_FOLDERS = ("src", "tests", "tools")
INCLUDE = re.compile(r'^\s*#\s*include\s*(?P<open>["<])(?P<name>[^">]+)[">]', re.MULTILINE)


def read_includes(root):
    """Returns the project files that each one includes, and an error for each name not found."""
    graph, errors = {}, []
    files = [
        path
        for folder in SOURCE_FOLDERS
        for path in sorted((root / folder).rglob("*"))
        if path.suffix in (".h", ".cpp")
    ]
    for path in files:
        graph[str(path.relative_to(root))] = included = []
        for match in INCLUDE.finditer(path.read_text(encoding="utf-8")):
            target = find_include(root, path, match["name"])
            if target:
                included.append(str(target.relative_to(root)))
            elif match["open"] == '"':
                errors.append(f'{path.relative_to(root)}: no such file: "{match["name"]}"')
    return graph, errors


def find_include(root, including, name):
    for folder in (including.parent, *(root / folder for folder in SOURCE_FOLDERS)):
        candidate = (folder / name).resolve()
        if candidate.is_file() and candidate.is_relative_to(root):
            return candidate
    return None


def layer_rank(file):
    """Returns the rank of a file's layer, or None if the folder is in no layer."""
    parts = pathlib.PurePath(file).parts
    if parts[0] != "src":
        return MAIN_RANK + 1  # tests and tools stand above everything
    return MAIN_RANK if len(parts) == 2 else RANKS.get(parts[1])


def find_upward(graph):
    errors, seen = [], set()
    for file, included in graph.items():
        rank = layer_rank(file)
        if rank is None:
            errors.append(f"{file}: its folder is in no layer")
            continue
        for target in included:
            target_rank = layer_rank(target)
            if target_rank is None or target_rank <= rank:
                continue
            if (file, target) in KNOWN_UPWARD:
                seen.add((file, target))
            else:
                errors.append(f"{file}: includes upward: {target}")
    errors += [
        f"{file}: no longer includes {target}: strike it from the known ones"
        for file, target in KNOWN_UPWARD
        if (file, target) not in seen
    ]
    return errors


def find_circles(graph):
    """Depth-first search; reports the circle that each back edge closes."""
    errors, done = [], set()

    def visit(file, path):
        if file in path:
            start = path.index(file)
            errors.append("circle: " + " -> ".join(path[start:] + [file]))
            return
        if file in done:
            return
        for target in graph[file]:
            visit(target, path + [file])
        done.add(file)

    for file in graph:
        visit(file, [])
    return errors


def main():
    if len(sys.argv) > 2:
        print("usage: check_includes.py [ROOT]", file=sys.stderr)
        return 2
    default_root = pathlib.Path(__file__).parents[2]
    root = pathlib.Path(sys.argv[1] if len(sys.argv) == 2 else default_root).resolve()
    graph, errors = read_includes(root)
    if not graph:
        errors.append(f"{root}: no sources")
    errors += find_upward(graph) + find_circles(graph)
    for error in errors:
        print(error)
    print(f"includes of {len(graph)} files: {len(errors)} errors, {len(KNOWN_UPWARD)} known upward")
    return 1 if errors else 0


if __name__ == "__main__":
    sys.exit(main())

#!/usr/bin/env python3
"""Checks that each system package which the deployment's build needs stands in deploy/system.toml.

    tools/checks/check_packages.py [--build FOLDER] [--settings FILE]

FOLDER is the deployment's build (default: target, by CMake's Makefiles); FILE lists the packages
(default: deploy/system.toml). What is needed:

    tools      cmake itself, the compiler and the build program, by CMake's cache of FOLDER
    includes   every header that a source under src includes as #include <...>
    headers    every other system header that the compiler reads for the library and the program
    libraries  every library on the program's link line

Tools, includes and libraries linked by name need a package that is listed itself. A listed package
that holds links alone (g++, libboost-dev) stands for those it depends on, and the listed compiler
for the headers of its C and C++ library. Libraries linked by path may come with a package that a
listed one depends on, other headers with any further dependency. Exits with 1 and one line for each
package that is missing.
"""
import argparse
import concurrent.futures
import functools
import json
import os
import pathlib
import re
import shlex
import subprocess
import sys
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = "saddlewing"
JOBS = 4
INCLUDE = re.compile(r"^\s*#\s*include\s*<([^>]+)>", re.MULTILINE)
COMPILER_LIBRARY = re.compile(r"libc6(-dev)?|libstdc\+\+-\d+-dev|libgcc-\d+-dev|linux-libc-dev")


def run(command, folder=None):
    result = subprocess.run(command, cwd=folder, capture_output=True, text=True)
    if result.returncode:
        sys.exit(f"check_packages: {shlex.join(command)}: {result.stderr.strip()}")
    return result.stdout


def find_owners(paths):
    """Returns {path: package} of files; with the merged /usr, dpkg may know a file without it."""
    owners = {}
    for spell in (str, os.path.realpath):
        for prefix in ("", "/usr"):
            spellings = {}
            for path in set(paths) - set(owners):
                spellings.setdefault(spell(path).removeprefix(prefix), []).append(path)
            for spelling, package in search_packages(list(spellings)):
                owners.update((path, package) for path in spellings.get(spelling, ()))
    return owners


def search_packages(paths):
    """Yields (path, package) of those files that dpkg knows by that path."""
    if not paths:
        return
    found = subprocess.run(["dpkg-query", "-S", *paths], capture_output=True, text=True)
    for line in found.stdout.splitlines():
        names, _, path = line.rpartition(": ")
        if names and not names.startswith("diversion by"):
            yield path, names.split(",")[0].split(":")[0]


@functools.cache
def read_providers():
    """Returns the installed packages that each name, also a virtual one, stands for."""
    providers = {}
    form = "-f=${db:Status-Status}\t${Package}\t${Provides}\n"
    for line in run(["dpkg-query", "-W", form]).splitlines():
        status, package, provides = line.split("\t")
        if status != "installed":
            continue
        for name in [package] + re.findall(r"(?:^|, )([^ ,]+)", provides):
            providers.setdefault(name, set()).add(package)
    return providers


@functools.cache
def find_dependencies(package):
    """Returns the installed packages that a package depends on; of alternatives the first one."""
    dependencies = set()
    fields = run(["dpkg-query", "-W", "-f=${Pre-Depends}, ${Depends}\n", package])
    for line in fields.splitlines():
        for clause in filter(str.strip, line.split(",")):
            names = [re.split(r"[\s:(]", name.strip())[0] for name in clause.split("|")]
            found = [read_providers()[name] for name in names if name in read_providers()]
            dependencies |= found[0] if found else set()
    return dependencies


def has_links_alone(package):
    """Tells whether a package holds nothing but links and documentation."""
    files = run(["dpkg-query", "-L", package]).splitlines()
    return all(
        file.startswith("/usr/share/") or os.path.islink(file) or os.path.isdir(file)
        for file in files
    )


def find_all_dependencies(packages):
    reached, waiting = set(), set(packages)
    while waiting:
        package = waiting.pop()
        if package not in reached:
            reached.add(package)
            waiting |= find_dependencies(package)
    return reached


class Listed:
    """What the listed packages bring to a build."""

    def __init__(self, names):
        installed = read_providers()
        self.absent = [name for name in names if name not in installed]
        self.names = {name for name in names if name in installed}
        self.direct = set(self.names)
        for name in self.names:
            if has_links_alone(name):
                self.direct |= find_dependencies(name)
        self.all = find_all_dependencies(self.names)
        # Libraries by their path come from a listed package's CMake files, which may name those of
        # the packages it depends on.
        self.linked = set().union(
            *(find_dependencies(name) for name in self.direct if name.endswith("-dev"))
        )

    def add_compiler(self, package):
        if package in self.direct:
            self.direct |= set(filter(COMPILER_LIBRARY.fullmatch, find_all_dependencies([package])))


def read_cache(build):
    """Returns the entries of CMake's cache."""
    text = (build / "CMakeCache.txt").read_text()
    return dict(re.findall(r"^([A-Za-z_0-9]+):[A-Z]+=(.*)$", text, re.MULTILINE))


def read_compile_commands(build):
    """Returns (folder, words) of the compilations of the sources under src."""
    run(["cmake", "-S", str(ROOT), "-B", str(build), "-DCMAKE_EXPORT_COMPILE_COMMANDS=ON"])
    entries = json.loads((build / "compile_commands.json").read_text())
    return [
        (entry["directory"], shlex.split(entry["command"]))
        for entry in entries
        if pathlib.Path(entry["file"]).is_relative_to(ROOT / "src")
    ]


def read_headers(command):
    """Returns the files that one compilation reads, the project's own left out."""
    folder, words = command
    output = words.index("-o")
    after = output + 2
    rule = run([*words[:output], *words[after:], "-M"], folder)
    files = rule.replace("\\\n", " ").partition(":")[2].split()
    paths = {os.path.normpath(os.path.join(folder, file)) for file in files}
    return {path for path in paths if not pathlib.Path(path).is_relative_to(ROOT)}


def read_search_folders(compiler, commands):
    """Returns the folders in which the compiler looks for #include <...>, in its order."""
    folders = []
    for _, words in commands:
        folders += [word[2:] for word in words if word.startswith("-I")]
        folders += [words[at + 1] for at, word in enumerate(words) if word == "-isystem"]
    search = subprocess.run(
        [compiler, "-x", "c++", "-E", "-v", "/dev/null"], capture_output=True, text=True
    )
    listing = search.stderr.partition("#include <...> search starts here:")[2]
    folders += listing.partition("End of search list.")[0].split()
    return list(dict.fromkeys(folders))


def read_includes(folders):
    """Returns {path: name as included} of what the sources under src include as #include <...>."""
    names = set()
    for source in (ROOT / "src").rglob("*"):
        if source.suffix in (".h", ".cpp"):
            names |= set(INCLUDE.findall(source.read_text(encoding="utf-8")))
    includes = {}
    for name in names:
        candidates = (os.path.join(folder, name) for folder in folders)
        found = next(filter(os.path.isfile, candidates), None)
        if not found:
            sys.exit(f"check_packages: <{name}> is in none of the compiler's folders")
        if not pathlib.Path(found).is_relative_to(ROOT):
            includes[os.path.normpath(found)] = f"<{name}>"
    return includes


def read_libraries(build, compiler):
    """Returns {path: word} of the libraries on the main program's link line."""
    link = build / "CMakeFiles" / f"{PROGRAM}.dir" / "link.txt"
    if not link.is_file():
        sys.exit(f"check_packages: {link} is missing: not a build by CMake's Makefiles")
    libraries = {}
    for word in shlex.split(link.read_text()):
        if re.search(r"\.(so[.\d]*|a)$", word) and os.path.isabs(word):
            libraries[word] = word
        elif word.startswith("-l"):
            libraries[find_library(compiler, word[2:])] = word
    return libraries


def find_library(compiler, name):
    for file in (f"lib{name}.so", f"lib{name}.a"):
        path = run([compiler, f"-print-file-name={file}"]).strip()
        if os.path.isabs(path):
            return os.path.normpath(path)
    sys.exit(f"check_packages: -l{name} is not found")


def report_missing(kind, files, allowed):
    """Prints one line for each package that owns a file and is not allowed; returns how many."""
    missing, owners = {}, find_owners(files)
    for path, label in sorted(files.items()):
        owner = owners.get(path)
        if owner not in allowed:
            missing.setdefault(owner or f"no package at all owns {path}", []).append(label)
    for package, labels in sorted(missing.items()):
        rest = " ..." if len(labels) > 3 else ""
        print(f"not listed: {package}: {kind} {', '.join(labels[:3])}{rest}")
    return len(missing)


def main():
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--build", type=pathlib.Path, default=ROOT / "target")
    parser.add_argument("--settings", type=pathlib.Path, default=ROOT / "deploy" / "system.toml")
    options = parser.parse_args()
    build = options.build.resolve()
    commands = read_compile_commands(build)
    if not commands:
        sys.exit(f"check_packages: {build} compiles nothing under src")
    cache = read_cache(build)
    compiler = cache["CMAKE_CXX_COMPILER"]
    names = ("CMAKE_COMMAND", "CMAKE_CXX_COMPILER", "CMAKE_MAKE_PROGRAM")
    tools = {cache[name]: cache[name] for name in names}
    includes = read_includes(read_search_folders(compiler, commands))
    libraries = read_libraries(build, compiler)
    with concurrent.futures.ThreadPoolExecutor(JOBS) as pool:
        headers = {path: path for paths in pool.map(read_headers, commands) for path in paths}

    listed = Listed(tomllib.loads(options.settings.read_text())["packages"])
    listed.add_compiler(find_owners([compiler]).get(compiler))
    for name in listed.absent:
        print(f"listed but not installed: {name}")
    errors = len(listed.absent)
    errors += report_missing("tool", tools, listed.direct)
    errors += report_missing("include", includes, listed.direct)
    named = {path: word for path, word in libraries.items() if word.startswith("-l")}
    by_path = {path: word for path, word in libraries.items() if path not in named}
    errors += report_missing("library", named, listed.direct)
    errors += report_missing("library", by_path, listed.direct | listed.linked)
    errors += report_missing("header", headers, listed.direct | listed.all)
    print(
        f"packages: {len(tools)} tools, {len(includes)} includes, {len(headers)} headers, "
        f"{len(libraries)} libraries: {errors} errors"
    )
    return 1 if errors else 0


if __name__ == "__main__":
    sys.exit(main())

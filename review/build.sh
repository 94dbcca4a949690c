#!/usr/bin/env bash
# The stand-ins are Python 3.11 without further packages: nothing to compile, so they are only checked.
set -eu
cd "$(dirname "$0")"
python3 -B - <<'PYTHON'
import ast
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 is needed, as for the project's own stand-ins")
for path in [*pathlib.Path("standins").glob("*.py"), *pathlib.Path(".").glob("[1-5]/*.py")]:
    ast.parse(path.read_text(encoding="utf-8"), str(path))
PYTHON

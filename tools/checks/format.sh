#!/usr/bin/env bash
# Formats all C++ sources in place, or with --check only says which ones are not formatted.
# Usage: tools/checks/format.sh [--check]
set -euo pipefail
cd "$(dirname "$0")/../.."
case "${1-}" in
  "") mode=(-i) ;;
  --check) mode=(--dry-run -Werror) ;;
  *)
    echo "usage: format.sh [--check]" >&2
    exit 2
    ;;
esac
# Without the file clang-format would take a style of its own.
if [[ ! -f .clang-format ]]; then
  echo "format.sh: .clang-format is missing" >&2
  exit 1
fi
sources=$(git ls-files 'src/*.cpp' 'src/*.h' 'tests/*.cpp' 'tests/*.h' 'tools/*.cpp' 'tools/*.h')
xargs -d '\n' -n 16 -P "${JOBS:-$(nproc)}" clang-format "${mode[@]}" <<<"$sources"

#!/usr/bin/env bash
# Runs clang-tidy over the sources that a build compiles, and prints each finding once.
# Usage: tools/checks/tidy.sh BUILD_FOLDER [SOURCE...]; without sources: all that git knows.
set -euo pipefail
cd "$(dirname "$0")/../.."
if (($# < 1)); then
  echo "usage: tidy.sh BUILD_FOLDER [SOURCE...]" >&2
  exit 2
fi
build=$1
shift
database=$build/compile_commands.json
if [[ ! -f $database ]]; then
  echo "tidy.sh: $database is missing: configure the build first" >&2
  exit 1
fi
if (($#)); then
  sources=$(printf '%s\n' "$@")
else
  # The sanitizers' own runner is compiled in their builds alone.
  sources=$(git ls-files 'src/*.cpp' 'tests/*.cpp' 'tools/*.cpp' ':!tests/sanitize/*')
fi
while read -r source; do
  if ! grep -qF "\"$PWD/$source\"" "$database"; then
    echo "tidy.sh: $source is not compiled in $build" >&2
    exit 1
  fi
done <<<"$sources"

results=$(mktemp -d)
trap 'rm -rf "$results"' EXIT
export build results
# shellcheck disable=SC2317  # xargs calls it
check_source() {
  local report=$results/${1//\//_}
  clang-tidy --quiet -p "$build" "$1" >"$report" 2>"$report.log" || {
    # A finding in a header comes once for each source that reads it; other failures are shown whole.
    grep -E '^[^ ]+:[0-9]+:[0-9]+: (warning|error): ' "$report" >"$report.findings" ||
      cat "$report" "$report.log" >&2
    return 1
  }
}
export -f check_source
status=0
# shellcheck disable=SC2016  # the inner shell expands it
xargs -d '\n' -n 1 -P "${JOBS:-$(nproc)}" bash -c 'check_source "$1"' _ <<<"$sources" || status=1
findings=$(find "$results" -name '*.findings' -exec sed "s|^$PWD/||" {} + | sort -u)
if [[ -n $findings ]]; then
  echo "$findings"
  echo "clang-tidy: $(wc -l <<<"$findings") findings"
fi
exit $status

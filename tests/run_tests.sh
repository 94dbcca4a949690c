#!/usr/bin/env bash
# Runs all tests: tests/run_tests.sh SADDLEWING_TESTS [KNOWN_RED]
#
# KNOWN_RED (KNOWN-RED.txt at the root, if it is there) lists what fails for a fault that is known and
# not fixed yet, one entry a line:
#
#     NAME: COMMAND; SEED; WHAT WAS SEEN; ISSUE     SEED: `seed N`, `seeds A..B` or `no seed`; ISSUE: `issue N`
#
# A NAME of the form `suite.test` is a test of the suite: it is run by itself and has to fail still;
# three of these at most. Any other entry has a command of its own, and is printed and passed over.
set -euo pipefail
tests=$1
known_red=${2:-$(dirname "$0")/../KNOWN-RED.txt}
max_known_red_tests=3
entry_form='^[^:;[:space:]]+: [^;]+; (no seed|seed [0-9]+|seeds [0-9]+\.\.[0-9]+); [^;]+; issue [0-9]+$'
test_name_form='^[a-z0-9_]+\.[a-z0-9_]+$'

refuse() {
  echo "run_tests.sh: $1" >&2
  exit 1
}

test_names=()
declare -A is_listed=()
if [[ -f $known_red ]]; then
  while IFS= read -r entry || [[ -n $entry ]]; do
    [[ $entry =~ $entry_form ]] || refuse "not an entry of known red tests: $entry"
    name=${entry%%:*}
    [[ -z ${is_listed[$name]:-} ]] || refuse "$name is listed twice"
    is_listed[$name]=true
    if [[ $name =~ $test_name_form ]]; then
      test_names+=("$name")
    else
      echo "known red, passed over: $entry"
    fi
  done <"$known_red"
fi
if ((${#test_names[@]} > max_known_red_tests)); then
  refuse "${#test_names[@]} tests are listed as known red, $max_known_red_tests at most may be"
fi
if ((${#test_names[@]} == 0)); then
  exec "$tests"
fi

patterns=("${test_names[@]/.//}")
all=$(IFS='|'; echo "${patterns[*]}")
"$tests" --filter "!($all)"
status=0
for index in "${!test_names[@]}"; do
  echo "known red: ${test_names[$index]}"
  output=$("$tests" --filter "${patterns[$index]}" 2>&1) && is_passed=true || is_passed=false
  if ! grep -q 'Tested: 1 ' <<<"$output"; then
    echo "run_tests.sh: ${test_names[$index]} is listed as known red and does not exist" >&2
    status=1
  elif $is_passed; then
    echo "run_tests.sh: ${test_names[$index]} passes: take it off the list" >&2
    status=1
  fi
done
exit $status

#!/usr/bin/env bash
# What tests/run_tests.sh makes of the entries in KNOWN-RED.txt, with a stand-in for the test program.
set -euo pipefail
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
run_tests=$(dirname "$0")/run_tests.sh
failed=0

# Of its tests `suite.red` fails and `suite.green` passes; without a filter, or with one that leaves
# out `suite.red`, all pass.
cat >"$folder/tests" <<'STAND_IN'
#!/usr/bin/env bash
case "${2:-all}" in
  suite/red) echo 'Tested: 1 '; exit 1 ;;
  suite/green) echo 'Tested: 1 ' ;;
  suite/none) echo 'Tested: 0 ' ;;
  *) echo "ran: ${*:-all}" ;;
esac
STAND_IN
chmod +x "$folder/tests"

# check EXIT_CODE OUTPUT ENTRIES: OUTPUT is part of what is printed.
check() {
  local code=0 output
  printf '%s' "$3" >"$folder/known-red"
  output=$("$run_tests" "$folder/tests" "$folder/known-red" 2>&1) || code=$?
  if [[ $code != "$1" || $output != *"$2"* ]]; then
    echo "FAILED: exit code $code instead of $1, or no '$2' in: $output; entries: $3"
    failed=1
  fi
}

line=$'\n'
case_1='review/1: review/1/run.sh; no seed; 3 writes lost, in 5 of 5 runs; issue 31'
soak='soak-900001: tools/soak.sh --seed 900001 --groups 4; seed 900001; DRAIN; issue 34'
red="suite.red: saddlewing_tests --filter suite/red; no seed; it fails; issue 34"
green="suite.green: saddlewing_tests --filter suite/green; no seed; it fails; issue 34"
none="suite.none: saddlewing_tests --filter suite/none; no seed; it fails; issue 34"

check 0 'ran: all' ''
check 0 "known red, passed over: $case_1" "$case_1$line"
check 0 'ran: all' "$case_1$line$soak$line"
check 0 "known red, passed over: $soak" "$case_1$line$soak"
check 0 'ran: --filter !(suite/red)' "$case_1$line$red$line"
check 0 'known red: suite.red' "$red$line"
check 1 'suite.green passes: take it off the list' "$green$line"
check 1 'suite.none is listed as known red and does not exist' "$none$line"
check 1 'is listed twice' "$case_1$line$case_1$line"
check 1 'not an entry' "$case_1 | $soak$line"
check 1 'not an entry' "review/1: it fails; issue 31$line"
check 1 'not an entry' "review/1: review/1/run.sh; no seed; 3 writes lost$line"
check 1 'not an entry' "review/1: review/1/run.sh; 3 writes lost; issue 31$line"
check 1 'not an entry' "$case_1$line$line$soak$line"
check 1 '4 tests are listed as known red, 3 at most may be' \
  "$red$line${red/red/red2}$line${red/red/red3}$line${red/red/red4}$line"
exit $failed

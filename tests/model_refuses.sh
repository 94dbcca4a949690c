#!/usr/bin/env bash
# Bad input to the model: one clear line and exit 2, each time. Wants the program and the folder of traces.
set -u
model=$1 traces=$2 failed=0
refuses() {  # what the line must hold, then the words
  local wanted=$1
  shift
  local said rc
  said=$("$model" "$@" 2>&1 >/dev/null)
  rc=$?
  if [[ $rc != 2 || $(wc -l <<<"$said") != 1 || $said != "model: "*"$wanted"* ]]; then
    echo "not refused: $* (exit $rc): $said"
    failed=1
  fi
}
refuses "no-such-option" --no-such-option
refuses "no-such-word" no-such-word
refuses "0 to 9" --members 10
refuses "0 to 9" --members -1
refuses "three" --members three
refuses "2 to 5" --explore --members 6
refuses "0 to 20" --explore --crashes 21
refuses "0 to 100" --brokers 101
refuses "10 to 86400" --seconds 5
refuses "1 to 256" --threads 0
refuses "number above" --walks 0
refuses "span" --for 30
refuses "span" --for 0m
refuses "unknown fault" --plant nothing-known
refuses "walks alone" --explore --plant grant-twice
refuses "cannot be read" --replay "$traces/none.json"
refuses "of another version" --replay "$traces/other_version.json"
refuses "cut short" --replay "$traces/cut_short.json"
refuses "end mark" --replay "$traces/without_end.json"
refuses "out of range" --replay "$traces/out_of_range.json"
refuses "unknown" --replay "$traces/unknown_act.json"
"$model" --replay "$traces/whole.json" | grep -q "nothing broken" || { echo "a whole trace is not replayed"; failed=1; }
exit $failed

#!/usr/bin/env bash
# Exit code 1: a rule was broken; 0: both held; 2: the case could not run.
# Two runs: a service that a configuration names later (CONFIG, `sync` 0), and a lost primary after a
# replica's crash (RECOVER, `sync` 1).
set -u
cd "$(dirname "$0")" || exit 2
worst=0
for part in added replica; do
  timeout -k 3 56 python3 -B "$part.py"
  code=$?
  mv -f record.txt "record-$part.txt"
  echo "$part: exit code $code"
  case $code in
    0) ;;
    1) worst=1 ;;
    *) [ "$worst" = 1 ] || worst=2 ;;
  esac
done
cat record-added.txt record-replica.txt > record.txt
rm -f record-added.txt record-replica.txt
exit "$worst"

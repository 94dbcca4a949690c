#!/usr/bin/env bash
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
# Two runs: with `sync` 1 (two disruptions), and with `sync` 0 as in the site file (three).
set -u
cd "$(dirname "$0")" || exit 2
worst=0
for variant in sync1 sync0; do
  VARIANT=$variant timeout -k 5 55 python3 -B case.py
  code=$?
  mv -f record.txt "record-$variant.txt"
  echo "$variant: exit code $code"
  case $code in
    0) ;;
    1) worst=1 ;;
    *) [ "$worst" = 1 ] || worst=2 ;;
  esac
done
cat record-sync1.txt record-sync0.txt > record.txt
rm -f record-sync1.txt record-sync0.txt
exit "$worst"

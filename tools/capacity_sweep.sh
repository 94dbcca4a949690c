#!/usr/bin/env bash
# The runs behind docs/CAPACITY.md: one size varied at a time, and larger ones held out to see how well the slopes foretell.
# Usage: tools/capacity_sweep.sh BUILD_FOLDER > runs.jsonl, then tools/capacity_fit.py runs.jsonl
set -euo pipefail
build=$1
run() { "$build/saddlewing_capacity" --binary "$build/saddlewing" "$@"; }
for brokers in 50 100 200 400; do run --brokers "$brokers" --backends 400 --seconds 5; done
for backends in 200 800 1600 3200; do run --brokers 100 --backends "$backends" --seconds 5; done
for changes in 0.5 1 2 4; do run --brokers 200 --backends 400 --routes 300 --changes "$changes" --seconds 8; done
for cells in 50 100 200 400; do run --brokers 100 --backends 400 --services 400 --edge-cells "$cells" --seconds 5; done
for replaced in 0.5 1 2; do run --brokers 200 --backends 400 --replacements "$replaced" --seconds 8; done
for routes in 50 600 1400; do run --brokers 100 --backends 400 --routes "$routes" --changes 1 --seconds 8; done
# Held out:
run --brokers 800 --backends 400 --seconds 5
run --brokers 100 --backends 6400 --seconds 5
run --brokers 800 --backends 6400 --seconds 6
run --brokers 400 --backends 400 --routes 300 --changes 8 --seconds 8
run --brokers 400 --backends 400 --services 400 --edge-cells 800 --seconds 5

#!/usr/bin/env bash
# Runs clusters of saddlewing on loopback under overlapping troubles and judges their history.
#
#     tools/soak.sh --program target/saddlewing --faults target/tests/libnetwork_faults.so --seeds 1..20
#
# Prints one line for each seed; exits 0 if nothing was found, 1 on a finding, 2 on a wrong command
# line. docs/soak.md describes the options, the troubles and the rules that are checked.
set -euo pipefail
tools=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
export PYTHONPATH="$tools${PYTHONPATH:+:$PYTHONPATH}"
exec python3 -B -m soak "$@"

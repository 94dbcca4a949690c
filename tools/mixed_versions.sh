#!/usr/bin/env bash
# Runs clusters made of two builds of saddlewing and replaces every process of one build by the other.
#
#     tools/mixed_versions.sh OLD NEW [--faults LIBRARY]
#
# OLD, NEW: paths of two builds of the program. LIBRARY: of tests/soak/network_faults.cpp; with it
# clusters of poolers, registries and databases run as well, by the soak.
# Prints one line for each pairing of builds; exits 0 if all passed, 1 if any failed or was not run,
# 2 on a wrong command line. Uses loopback alone. See docs/operating.md, "Two versions in one cluster".
set -euo pipefail
tools=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
export PYTHONPATH="$tools${PYTHONPATH:+:$PYTHONPATH}"
exec python3 -B -m mixed_versions "$@"

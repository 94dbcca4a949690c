#!/usr/bin/env bash
# Runs a program under the soak's rules: run_with_faults.sh LIBRARY PROGRAM [ARGUMENT...]
# SOAK_ADDRESS and SOAK_RULES are described in network_faults.cpp.
set -euo pipefail
library=$1
shift
LD_PRELOAD=$library exec "$@"

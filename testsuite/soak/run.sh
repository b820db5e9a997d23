#!/usr/bin/env bash
# Runs short soak tests with fixed seeds. Guards against guarantees that are violated when processes are killed,
# paused and restarted while servers, links and the configuration change.
set -eu
BUILD="${1:-build}"
here="$(cd "$(dirname "$0")" && pwd)"
# The list also holds the seeds of former failures, each with its cause.
seeds=(
  20261204 # fixed seed of CI
  101      # a host started beside a process that still held one of its addresses, and stayed ended
  102      # a control host ended with the reader of its log
)
for seed in "${seeds[@]}"; do
  python3 "$here/soak.py" "$BUILD/src/lovagehold/lovagehold" --seed "$seed" --seconds "${SOAK_SECONDS:-12}"
done
# Guards against entry hosts that use a configuration 2 s after a later one was acknowledged: changes of 1,400 routes in
# quick succession.
python3 "$here/storm.py" "$BUILD/src/lovagehold/lovagehold" --seed 20261206 --seconds "${SOAK_SECONDS:-12}"

#!/usr/bin/env bash
# Runs short soak tests with fixed seeds. Guards against guarantees that are violated when processes are killed,
# paused and restarted while servers, links and the configuration change.
# Fresh seeds, here 50 of them, three at a time, with a table at the end:
#   python3 testsuite/soak/seeds.py soak.py build/src/lovagehold/lovagehold --count 50 --parallel 3 --strict
#   python3 testsuite/soak/seeds.py rounds.py build/src/lovagehold/lovagehold --count 6 --seconds 100 --controls 11 \
#     --logs /dev/shm/rounds
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
# Guards against losses that last: a host whose disk was lost, or a new one, stays outside the control group while a host
# that is no seed leads. Then drawn rounds of as many losses as are tolerated.
# The files are in memory where that is possible: all hosts share one disk here, and while it stalls, none can store a change.
[ -w /dev/shm ] && export TMPDIR=/dev/shm
python3 "$here/rounds.py" "$BUILD/src/lovagehold/lovagehold" --seed 20261207 --seconds "${SOAK_SECONDS:-30}" \
  --controls 7 --losses 3 --entries 8 --plan "freeze 3 seeds; wipe 2 seeds"

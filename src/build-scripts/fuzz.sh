#!/usr/bin/env bash
# Fuzzes the replicated log with a random seed, which is printed first. Pass that seed to repeat the run.
# Usage: fuzz.sh BUILD_FOLDER [SEQUENCES [SEED]]
set -eu
cd "$(dirname "$0")/../.."
build=$1
export LOVAGEHOLD_FUZZ_SEQUENCES=${2:-200000}
export LOVAGEHOLD_FUZZ_SEED=${3:-$(od -An -N4 -tu4 /dev/urandom | tr -d ' ')}
echo "sequences=$LOVAGEHOLD_FUZZ_SEQUENCES seed=$LOVAGEHOLD_FUZZ_SEED"
exec "$build/src/libstate/consensus_fuzz_test" --gtest_filter='ConsensusFuzz.*'

#!/usr/bin/env bash
# Runs all tests with fixed seeds. Tests listed in KNOWN-RED.txt also run and print their results, but only the
# other tests determine the exit code. Usage: run-tests.sh BUILD_FOLDER [ctest arguments]
set -eu
cd "$(dirname "$0")/../.."
build=$1
shift
export RC_PARAMS="${RC_PARAMS:-seed=20261204 max_success=100}"
known=$(sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)
if [ -n "$known" ]; then
  echo "known failures (KNOWN-RED.txt), not part of the verdict:"
  ctest --test-dir "$build" -R "^($known)\$" --no-tests=error || true
  set -- -E "^($known)\$" "$@"
fi
ctest --test-dir "$build" --output-on-failure --timeout 300 -j "${TEST_JOBS:-4}" --no-tests=error "$@"

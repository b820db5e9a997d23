#!/usr/bin/env bash
# Formats all C++ files, or with --check only reports those that are not formatted.
set -eu
cd "$(dirname "$0")/../.."
mode=-i
[ "${1:-}" = --check ] && mode="--dry-run -Werror"
find src platform testsuite -name '*.cpp' -o -name '*.h' | sort | xargs -r -P "$(nproc)" -n 8 clang-format $mode

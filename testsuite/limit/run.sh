#!/usr/bin/env bash
# Sends callers to servers that name a request limit, through several entry hosts. Guards against servers that get more
# requests than their limit because each host counts only its own.
set -eu
BUILD="${1:-build}"
here="$(cd "$(dirname "$0")" && pwd)"
python3 "$here/limit.py" "$BUILD/src/lovagehold/lovagehold" --seed 20261205

#!/usr/bin/env bash
# Queries hosts that run on the platform (--site) with lovagectl. Guards against pages of the metrics address that
# lovagectl can't read.
set -eu
BUILD="${1:-build}"
here="$(cd "$(dirname "$0")" && pwd)"
python3 "$here/site.py" "$BUILD/src/lovagehold/lovagehold" "$BUILD/src/lovagectl/lovagectl"

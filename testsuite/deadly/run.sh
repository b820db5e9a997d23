#!/usr/bin/env bash
# Sends a request that crashes each server that runs it, again and again and at several entry hosts. Guards against one
# request that takes down the servers of a service one after the other, and against ordinary requests that are held to
# be the cause.
set -eu
BUILD="${1:-build}"
here="$(cd "$(dirname "$0")" && pwd)"
python3 "$here/deadly.py" "$BUILD/src/lovagehold/lovagehold" --seed 20261205

#!/usr/bin/env bash
# Guards against processes that end by themselves, or fill the memory of their host, because of what others do: odd
# messages at any address and from servers.
set -eu
BUILD="${1:-build}"
here="$(cd "$(dirname "$0")" && pwd)"
python3 "$here/endings.py" "$BUILD/src/lovagehold/lovagehold"

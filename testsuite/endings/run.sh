#!/usr/bin/env bash
# Guards against processes that end by themselves, stand still or fill the memory of their host because of what others
# do: odd messages at any address and from servers, a log reader that ends, addresses held at the start, idle
# connections that take all descriptors, and many large bodies at once.
set -eu
BUILD="${1:-build}"
here="$(cd "$(dirname "$0")" && pwd)"
python3 "$here/endings.py" "$BUILD/src/lovagehold/lovagehold"

#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review (review/6 and on) start. They are all written in Python
# and need no build; this only checks that they can be read. The programs themselves are built by the build line of
# deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "python 3.11 or later is needed"; exit 1; }
for file in review/lib2/*.py review/[6-9]/*.py review/10/*.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done

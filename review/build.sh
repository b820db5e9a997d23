#!/usr/bin/env bash
# Builds what the scripts of the review start besides the build of the deploy file. All stand-ins are Python programs
# of the standard library in review/lib and in the folders of the cases, so this only checks that they can be read.
set -eu
cd "$(dirname "$0")"
python3 - lib/*.py */case.py <<'PY'
import sys
for path in sys.argv[1:]:
    compile(open(path, encoding="utf-8").read(), path, "exec")
    print("ok:", path)
PY

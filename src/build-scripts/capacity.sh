#!/usr/bin/env bash
# Repeats the measurements of docs/CAPACITY.md and rewrites its tables. Usage: capacity.sh BUILD_FOLDER
set -eu
cd "$(dirname "$0")/../.."
python3 src/build-scripts/capacity.py "$1" docs/CAPACITY.md

#!/usr/bin/env bash
# Measures the slopes of docs/CAPACITY.md again and rewrites its tables. Usage: capacity.sh BUILD_FOLDER
set -eu
cd "$(dirname "$0")/../.."
python3 src/build-scripts/capacity.py "$1" docs/CAPACITY.md

#!/usr/bin/env bash
# Measures the cost of a dispatch decision and compares dispatch policies. Usage: bench.sh BUILD_FOLDER
# Results: BUILD_FOLDER/bench/ with policies.md, policies.csv, policies.svg, decision_bench.txt and routing_bench.txt.
set -eu
cd "$(dirname "$0")/../.."
build=${1:?usage: bench.sh BUILD_FOLDER}
out=$build/bench
mkdir -p "$out"
echo "bench: cost of a decision"
"$build/src/teststand/decision_bench" | tee "$out/decision_bench.txt"
"$build/platform/routing_bench" | tee "$out/routing_bench.txt"
echo "bench: policies in virtual time (about a minute)"
"$build/src/teststand/policy_bench" --threads "${BENCH_THREADS:-4}" --csv "$out/policies.csv" >"$out/policies.md"
python3 src/build-scripts/plot_policies.py "$out/policies.csv" "$out/policies.svg"
echo "bench: urgent latency with 29 entry hosts at 80% load"
grep -E '^\| (scenario|---|[a-z-]+ \| [0-9.]+ \| 29 \| 80 )' "$out/policies.md"
echo "bench: all results are in $out"

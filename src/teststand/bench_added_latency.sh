#!/usr/bin/env bash
# Measures the latency that an entry host adds: sends the same load to one server directly, through relay_program
# and through an entry host, in three alternating rounds. Usage: bench_added_latency.sh [BUILD_FOLDER]
HERE=$(cd "$(dirname "$0")" && pwd)
BUILD=$(cd "${1:-$HERE/../../build}" && pwd)
WORK=$(mktemp -d)
. "$HERE/../../testsuite/lib.sh"
trap 'stop_all; rm -rf "$WORK"' EXIT

start_hosts 1 "$HERE/../../testsuite/demo/config"
standin slot-desk 1 8001 --service-us 500
start relay "$BUILD/src/teststand/relay_program" --listen "$NET.3.1:7090" --server "$NET.2.1:8001"
await "the server is eligible" eligible_servers 1 1

measure() { # measure NAME ADDRESS SEED: prints the latency of requests to ADDRESS
  printf '%s ' "$1"
  "$BUILD/src/teststand/load_driver" --direct "$2" --retries 0 --seed "$3" --allow-failures 1000 \
    --stream "service=slot-desk,target=/slots/1,count=${COUNT:-1200},rate=300"
}
for round in 1 2 3; do
  measure direct "$NET.2.1:8001" "$round"
  measure relay "$NET.3.1:7090" "$round"
  measure entry "$NET.1.1:7080" "$round"
done
exit "$FAILED"

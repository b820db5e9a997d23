#!/usr/bin/env bash
# Servers that stall, cut off responses, fail fast, stop reading uploads or are killed. In each case every
# successful response must be complete and belong to its request, no key may run twice, no request reported as
# not-run may have run, and the uploads that were answered must have arrived complete.
HERE=$(cd "$(dirname "$0")" && pwd)
BUILD=$(cd "${1:-$HERE/../../build}" && pwd)
WORK=$(mktemp -d)
. "$HERE/../lib.sh"
trap 'stop_all; rm -rf "$WORK"' EXIT

start_hosts 3 "$HERE/config"
for i in 1 2 3; do standin slot-desk "$i" 8001; done
SLOT_SERVER=$LAST_PID
for i in 1 2 3; do standin stem-ledger "$i" 8002 --service-us 20000; done
LEDGER_SERVER=$LAST_PID
for i in 1 2 3; do standin survey-intake "$i" 8003; done
await "all servers are eligible at the owners" eligible_servers 9 3

SEED=0
CALLS=()
# load NAME STREAM...: sends the streams. Failed requests are allowed; compare_records.py checks the records.
load() {
  local name="$1" streams=()
  shift
  SEED=$((SEED + 1))
  for stream in "$@"; do streams+=(--stream "$stream"); done
  "$BUILD/src/teststand/load_driver" --entry "$NET.1.1:7080" --entry "$NET.1.2:7080" --seed "$SEED" \
    --records "$WORK/calls-$name.json" --allow-failures 100000 "${streams[@]}"
  check "the load driver ends in time ($name)" test "$?" = 0
  CALLS+=("$WORK/calls-$name.json")
}
READS="service=slot-desk,target=/slots/1?size=30000,count=120,rate=150"
CHUNKED_READS="service=slot-desk,target=/slots/2?size=150000&chunked=1,count=60,rate=80"
KEYS="service=stem-ledger,method=POST,target=/stems,count=60,rate=60,repeats=2"
SINGLE_KEYS="service=stem-ledger,method=POST,target=/stems/single,count=40,rate=40,repeats=1"
UPLOADS="service=survey-intake,method=POST,target=/surveys,count=20,rate=40,upload=600000"
LARGE_UPLOADS="service=survey-intake,method=POST,target=/surveys/large,count=6,rate=10,upload=5000000"
CHUNKED_UPLOADS="service=survey-intake,method=POST,target=/surveys/chunked,count=6,rate=10,upload=3000000,chunked=1"

for mode in stall-response cut fail-fast shed silent stall; do
  echo "server 1 of each service: $mode"
  set_mode 1 8001 "$mode"; set_mode 1 8002 "$mode"
  load "$mode" "$READS" "$CHUNKED_READS" "$KEYS" "$SINGLE_KEYS"
  set_mode 1 8001 normal; set_mode 1 8002 normal
done
echo "an intake server stops reading within the uploads"
set_mode 1 8003 stall-upload
load stall-upload "$UPLOADS" "$LARGE_UPLOADS" "$CHUNKED_UPLOADS"
set_mode 1 8003 normal
echo "servers are killed"
( sleep 0.4; kill -KILL "$SLOT_SERVER" "$LEDGER_SERVER" ) &
load killed "$READS" "$CHUNKED_READS" "$KEYS" "$SINGLE_KEYS"
load after "$READS" "$KEYS" "$SINGLE_KEYS" "$UPLOADS" "$LARGE_UPLOADS"

check "callers and servers agree" "$HERE/../compare_records.py" \
  --min slot-desk=600 stem-ledger=200 survey-intake=30 --calls "${CALLS[@]}" --runs "$WORK"/runs-*.json
[ "$FAILED" = 0 ] && echo "failures: all checks passed" || { echo "failures: checks failed, logs follow"; tail -n 5 "$WORK"/*.log; }
exit "$FAILED"

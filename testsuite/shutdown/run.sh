#!/usr/bin/env bash
# An entry host is shut down while it serves a 200 MB upload and 50 requests. None of them may be cut off, and the
# process must exit by itself afterwards.
HERE=$(cd "$(dirname "$0")" && pwd)
BUILD=$(cd "${1:-$HERE/../../build}" && pwd)
WORK=$(mktemp -d)
. "$HERE/../lib.sh"
trap 'stop_all; rm -rf "$WORK"' EXIT

start_hosts 3 "$HERE/config"
for i in 1 2 3 4; do standin survey-intake "$i" 8003; done
for i in $(seq 18); do standin slot-desk "$i" 8001 --service-us 900000; done
await "all servers are eligible at the owners" eligible_servers 22 3

# The callers use only host-2, which is shut down, and do not retry, so that each request cut off is a failure.
load() { # load NAME STREAM: sends the stream in the background
  start "load-$1" "$BUILD/src/teststand/load_driver" --direct "$NET.1.2:7080" --retries 0 --seed 1 \
    --records "$WORK/calls-$1.json" --stream "$2"
}
load upload "service=survey-intake,method=POST,target=/surveys,count=1,upload=200000000,pace=60000000"
UPLOAD=$LAST_PID
upload_started() { grep -q start "$WORK"/runs-survey-intake-*.json; }
await "the upload has started" upload_started
load reads "service=slot-desk,target=/slots,count=50,rate=1000"
READS=$LAST_PID
reads_started() { [ "$(cat "$WORK"/runs-slot-desk-*.json | grep -c start)" = 50 ]; }
await "50 requests run at the servers" reads_started
kill -TERM "${HOST_PIDS[2]}"
wait "$READS"; check "each of the 50 requests is answered" test "$?" = 0
wait "$UPLOAD"; check "the upload is answered" test "$?" = 0
host_ended() { ! kill -0 "${HOST_PIDS[2]}" 2>/dev/null; }
await "the host exits by itself" host_ended
check "the host cut off no request" grep -q 'event=stopped.*cut_off=0' "$WORK/host-2.log"
check "the shutdown began before the upload ended" grep -q shutdown_started "$WORK/host-2.log"
# A host with a request that never ends exits at its limit and says so.
SHUTDOWN_LIMIT=2s write_settings 4 domain-1 entry 3
start host-4 "$BUILD/src/lovagehold/lovagehold" --settings "$WORK/host-4.yaml"
HOST_PIDS[4]=$LAST_PID
await "a fourth host has the change in force" host_in_force 4 3
for i in $(seq 18); do set_mode "$i" 8001 stall; done
start load-stuck "$BUILD/src/teststand/load_driver" --direct "$NET.1.4:7080" --retries 0 --seed 2 \
  --allow-failures 1 --stream "service=slot-desk,target=/slots,count=1"
stuck() { [ "$(cat "$WORK"/runs-slot-desk-*.json | grep -c start)" -gt 50 ]; }
await "its request is in progress" stuck
kill -TERM "${HOST_PIDS[4]}"
host_4_ended() { ! kill -0 "${HOST_PIDS[4]}" 2>/dev/null; }
await "the host exits although its request does not end" host_4_ended
check "it reports the request cut off" grep -q 'event=stopped.*cut_off=1' "$WORK/host-4.log"
check "callers and servers agree" "$HERE/../compare_records.py" \
  --min slot-desk=50 survey-intake=1 --calls "$WORK"/calls-*.json --runs "$WORK"/runs-*.json
[ "$FAILED" = 0 ] && echo "shutdown: all checks passed" || { echo "shutdown: checks failed, logs follow"; tail -n 5 "$WORK"/*.log; }
exit "$FAILED"

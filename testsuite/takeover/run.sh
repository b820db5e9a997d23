#!/usr/bin/env bash
# Takeover of a service whose owner is killed, restarted, paused for 3 s and shut down gracefully under load, and
# a pause of the control leader. Callers that retry at the next address must be served, and no request may run
# twice. Prints the latencies that callers saw without checking them.
HERE=$(cd "$(dirname "$0")" && pwd)
BUILD=$(cd "${1:-$HERE/../../build}" && pwd)
WORK=$(mktemp -d)
. "$HERE/../lib.sh"
trap 'stop_all; rm -rf "$WORK"' EXIT
BIN="$BUILD/src"
ADMIN=$NET.1.1:7082
declare -A HOST_PID

run_host() { start "host-$1-${2:-first}" "$BIN/lovagehold/lovagehold" --settings "$WORK/host-$1.yaml"; HOST_PID[$1]=$LAST_PID; }

write_settings 1 domain-1 control 1
run_host 1
for n in 2 3 4; do
  write_settings "$n" "domain-$n" entry 1
  run_host "$n"
done
await "control answers" get "http://$ADMIN/status"
await "the folder is accepted" "$BIN/lovagectl/lovagectl" --admin "$ADMIN" apply "$HERE/../demo/config"

where() { get "http://$NET.1.$1:7080/.lovagehold/where?service=$2" | json_field '" ".join(d["addresses"])'; }
owner_of() { where "$2" "$1" | sed -E 's/^[0-9.]*\.([0-9]+):7080.*/\1/'; } # owner_of SERVICE ASKED_HOST
share_of() { get "http://$NET.1.$1:7082/status" | json_field "d['services']['$2']['share']"; }
share_is() { [ "$(share_of "$1" "$2")" = "$3" ]; }
members_are() { get "http://$NET.1.$1:7082/status" | json_field "len(d['hosts']) == $2" | grep -q True; }
for n in 2 3 4; do await "host-$n knows three entry hosts" members_are "$n" 3; done

standin() { # standin SERVICE NUMBER PORT
  start "$1-$2" "$BIN/teststand/standin_server" --service "$1" --id "$1-$2" --address "$NET.2.$2:$3" \
    --entry "$NET.1.2:7080" --entry "$NET.1.3:7080" --entry "$NET.1.4:7080"
}
standin slot-desk 1 8001
standin slot-desk 2 8001
standin stem-ledger 1 8002
OWNER=$(owner_of slot-desk 2)
LEDGER_OWNER=$(owner_of stem-ledger 2)
echo "owner of slot-desk: host-$OWNER, owner of stem-ledger: host-$LEDGER_OWNER"
await "the owner of slot-desk has the full share" share_is "$OWNER" slot-desk full
await "the owner of stem-ledger has the full share" share_is "$LEDGER_OWNER" stem-ledger full
has_server() { get "http://$NET.1.$1:7082/status" | json_field "d['services']['$2']['eligible_servers'] >= $3" | grep -q True; }
await "the servers of slot-desk are eligible" has_server "$OWNER" slot-desk 2
await "the server of stem-ledger is eligible" has_server "$LEDGER_OWNER" stem-ledger 1

reads() { # reads SEED: sends urgent reads for 3 s in the background
  "$BIN/teststand/load_driver" --entry "$ADDRESS" --service slot-desk --target /slots/1 --count 900 --rate 300 \
    --retries 40 --retry-delay-ms 50 --attempt-timeout-ms 250 --seed "$1" >"$WORK/reads.out" 2>&1 &
  READS=$!
}
confirms() { # confirms SEED: sends non-idempotent requests for 3 s in the background
  "$BIN/teststand/load_driver" --entry "$ADDRESS" --service stem-ledger --method POST --target /stems --count 300 \
    --rate 100 --key-repeats 1 --retries 40 --retry-delay-ms 50 --attempt-timeout-ms 1000 --seed "$1" >"$WORK/confirms.out" 2>&1 &
  CONFIRMS=$!
}
served() { # served TEXT: waits for the reads and confirmations and checks their results
  check "$1: reads are served" wait "$READS"
  cat "$WORK/reads.out"
  check "$1: confirmations are served or reported as unknown" wait "$CONFIRMS"
  cat "$WORK/confirms.out"
  check "$1: no confirmation ran twice" ran_once
}
ran_once() { get "http://$NET.2.1:9002/standin/report" | json_field "d['doubled'] == 0 and d['ran'] == d['keys'] and d['ran'] > 0" | grep -q True; }

OTHER=$((OWNER == 2 ? 3 : 2))
ADDRESS=$NET.1.$OTHER:7080
echo "kill -9 of the owner under load"
reads 1; confirms 1
sleep 1
kill -KILL "${HOST_PID[$OWNER]}"
served "owner killed"
NEXT=$(owner_of slot-desk "$OTHER")
check "another host owns slot-desk" test "$NEXT" != "$OWNER"
check "the new owner reserves one slot per server for the killed host" share_is "$NEXT" slot-desk reduced
ordered() { # whether the leader's decision precedes its effects in the other processes
  python3 - "$ADMIN" "$NET.1.$NEXT:7082" "host-$OWNER" <<'PY'
import json, sys, urllib.request
leader, successor, lost = sys.argv[1:]
events = [e for a in (leader, successor) for e in json.load(urllib.request.urlopen(f"http://{a}/events"))]
def first(name, **fields):
    found = [e["hlc"] for e in events if e["event"] == name and fields.items() <= e["fields"].items()]
    return min(found)
ended = first("session_ended", peer=lost)
left = first("host_left", peer=lost)
reduced = first("share_changed", service="slot-desk", share="reduced")
sys.exit(0 if ended < left < reduced else f"not in order: {ended} {left} {reduced}")
PY
}
check "the events of the takeover are ordered across processes" ordered
has_metric() { get "http://$NET.1.$1:7082/metrics" | grep -qE "^$2\$"; } # has_metric HOST LINE
check "the successor's metrics count the requests" has_metric "$NEXT" \
  'lovagehold_requests_total\{service="slot-desk",class="urgent",outcome="served"\} [1-9][0-9]*'
check "the leader's metrics count the sessions" has_metric 1 'lovagehold_sessions 2'

echo "the killed host restarts with a new incarnation"
run_host "$OWNER" again
await "the restarted host owns slot-desk in full again" share_is "$OWNER" slot-desk full
await "the servers of slot-desk are eligible" has_server "$OWNER" slot-desk 2

echo "SIGSTOP of the owner for 3 s under load, then SIGCONT"
reads 2; confirms 2
sleep 0.5
kill -STOP "${HOST_PID[$OWNER]}"
sleep 3
kill -CONT "${HOST_PID[$OWNER]}"
served "owner paused"
await "the resumed host owns slot-desk in full again" share_is "$OWNER" slot-desk full

echo "SIGSTOP of the control leader for 1.5 s under load, then SIGCONT"
VIEW=$(get "http://$NET.1.$OWNER:7082/metrics" | sed -n "s/^lovagehold_view //p")
reads 4; confirms 4
sleep 0.5
kill -STOP "${HOST_PID[1]}"
sleep 1
check "the owner cut off from control has the isolated share" share_is "$OWNER" slot-desk isolated
sleep 0.5
kill -CONT "${HOST_PID[1]}"
served "leader paused"
await "the owner has the full share again" share_is "$OWNER" slot-desk full
check "the leader ended no session after its pause" has_metric "$OWNER" "lovagehold_view $VIEW"

echo "graceful shutdown of the owner under load"
await "the servers of slot-desk are eligible" has_server "$OWNER" slot-desk 2
reads 3; confirms 3
sleep 1
kill -TERM "${HOST_PID[$OWNER]}"
served "owner left"
check "address queries no longer return the host that left" test "$(owner_of slot-desk "$OTHER")" != "$OWNER"
NEXT=$(owner_of slot-desk "$OTHER")
check "its successor has the full share" share_is "$NEXT" slot-desk full
check "the host has exited by itself" wait "${HOST_PID[$OWNER]}"

[ "$FAILED" = 0 ] && echo "takeover: all checks passed" || { echo "takeover: checks failed, logs follow"; tail -n 15 "$WORK"/*.log; }
exit "$FAILED"

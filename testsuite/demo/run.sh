#!/usr/bin/env bash
# Runs three hosts with the entry and control roles and stand-in servers of three services, and sends requests
# through the entry hosts. Exits non-zero if any check fails.
HERE=$(cd "$(dirname "$0")" && pwd)
BUILD=$(cd "${1:-$HERE/../../build}" && pwd)
WORK=$(mktemp -d)
. "$HERE/../lib.sh"
trap 'stop_all; rm -rf "$WORK"' EXIT
BIN="$BUILD/src"
ADMIN=$NET.1.1:7082

echo "starting three hosts"
for n in 1 2 3; do
  write_settings "$n" "domain-$n" "entry, control" 3
  start "host-$n" "$BIN/lovagehold/lovagehold" --settings "$WORK/host-$n.yaml"
done
await "a host answers" get "http://$ADMIN/status"

echo "applying the declarations"
await "the folder is accepted" "$BIN/lovagectl/lovagectl" --admin "$ADMIN" apply "$HERE/config"
in_force() { get "http://$NET.1.$1:7082/status" | json_field 'd["revision"] > 0 and len(d["hosts"]) == 3' | grep -q True; }
for n in 1 2 3; do await "the change is in force on host-$n" in_force "$n"; done

echo "starting stand-in servers"
standin() { # standin SERVICE NUMBER PORT
  start "$1-$2" "$BIN/teststand/standin_server" --service "$1" --id "$1-$2" --address "$NET.2.$2:$3" \
    --entry "$NET.1.$(( $2 % 3 + 1 )):7080" --entry "$NET.1.1:7080"
}
for i in 1 2 3; do standin slot-desk "$i" 8001; done
SLOT_SERVER=$LAST_PID
for i in 1 2; do standin stem-ledger "$i" 8002; done
for i in 1 2; do standin delivery-notes "$i" 8003; done
all_eligible() {
  local total=0 n
  for n in 1 2 3; do
    total=$((total + $(get "http://$NET.1.$n:7082/status" | json_field 'sum(s["eligible_servers"] for s in d["services"].values())')))
  done
  [ "$total" = 7 ]
}
await "all servers are eligible at the owners" all_eligible

echo "sending requests"
driver() { "$BIN/teststand/load_driver" "$@"; }
check "urgent reads" driver --entry "$NET.1.1:7080" --service slot-desk --target /slots/1 --count 500 --rate 500
check "patient look-ups" driver --entry $NET.1.2:7080 --service delivery-notes --target /notes/1 --count 200 --rate 300
check "non-idempotent requests, each key sent three times" \
  driver --entry $NET.1.3:7080 --service stem-ledger --method POST --target /stems --count 150 --rate 150 --key-repeats 3

count_runs() { # count_runs FIELD: sum over the servers of stem-ledger
  local total=0 i
  for i in 1 2; do total=$((total + $(get "http://$NET.2.$i:9002/standin/report" | json_field "d['$1']"))); done
  echo "$total"
}
check "each of the 50 keys ran once" test "$(count_runs ran) $(count_runs keys) $(count_runs doubled)" = "50 50 0"

echo "a server leaves"
kill -TERM "$SLOT_SERVER"
# A host that owned the service before all hosts had joined still lists it, without servers,
# and dispatches nothing.
two_left() {
  get "http://$NET.1.$1:7082/status" | json_field '(lambda s: s is None or s["share"] == "none" or s["servers"] == 2)(d["services"].get("slot-desk"))' | grep -q True
}
owner_has_two() {
  local n owners=0
  for n in 1 2 3; do
    get "http://$NET.1.$n:7082/status" | json_field '(lambda s: s is not None and s["share"] == "full" and s["servers"] == 2)(d["services"].get("slot-desk"))' | grep -q True && owners=$((owners + 1))
  done
  [ "$owners" = 1 ]
}
for n in 1 2 3; do await "host-$n sends it nothing new" two_left "$n"; done
await "the owner dispatches to the two others" owner_has_two
check "urgent reads without it" driver --entry "$NET.1.1:7080" --service slot-desk --target /slots/1 --count 200 --rate 300 --seed 2

[ "$FAILED" = 0 ] && echo "demo: all checks passed" || { echo "demo: checks failed, logs follow"; tail -n 5 "$WORK"/*.log; }
exit "$FAILED"

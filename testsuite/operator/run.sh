#!/usr/bin/env bash
# Runs every lovagectl subcommand against three hosts and checks its output and exit code.
HERE=$(cd "$(dirname "$0")" && pwd)
BUILD=$(cd "${1:-$HERE/../../build}" && pwd)
WORK=$(mktemp -d)
. "$HERE/../lib.sh"
trap 'stop_all; rm -rf "$WORK"' EXIT
BIN="$BUILD/src"
ADMIN=$NET.1.1:7082
ctl() { "$BIN/lovagectl/lovagectl" --admin "$ADMIN" "$@"; }
run() { # run CODE PATTERN ARGUMENTS...: checks the exit code and that the output matches the pattern
  local code="$1" pattern="$2" output
  shift 2
  output=$(ctl "$@" 2>&1)
  local got=$?
  if [ "$got" = "$code" ] && grep -qE -- "$pattern" <<<"$output"; then
    echo "ok: lovagectl $* (exit $code, $pattern)"
  else
    echo "FAILED: lovagectl $*: exit code $got, not $code with '$pattern':"
    echo "$output"
    FAILED=1
  fi
}

run 3 "does not answer" status
for n in 1 2 3; do
  write_settings "$n" "domain-$n" "entry, control" 3
  start "host-$n" "$BIN/lovagehold/lovagehold" --settings "$WORK/host-$n.yaml"
  HOST_PIDS[$n]=$LAST_PID
done
ready() { ctl status 2>/dev/null | grep -c ready | grep -q 3; }
await "three hosts are ready" ready

DECLARATIONS="$WORK/declarations"
cp -r "$HERE/../../examples/fbsa/declarations" "$DECLARATIONS"
run 0 "\+ 0005-stem-ledger-deadline.yaml: not accepted yet" diff "$DECLARATIONS"
run 0 "is in force on 3 of 3 hosts" apply "$DECLARATIONS" --wait
run 0 "0 accepted now, 5 accepted before" apply "$DECLARATIONS"
run 0 "^0 files to apply" diff "$DECLARATIONS"
run 0 "next free number: 6" history
run 0 "kinds.confirm.deadline_ms +5000 +0005-stem-ledger-deadline.yaml" show stem-ledger
run 0 "probe_budget +0.002 +default" show stem-ledger
run 1 "no service 'x y' is declared" show "x y"

mkdir "$WORK/rival" "$WORK/wrong"
echo "services: {rival: {}}" >"$WORK/rival/0005-rival.yaml"
run 1 "number 5 is taken by 0005-stem-ledger-deadline.yaml \(revision [0-9]+\); next free number is 6" \
  apply "$WORK/rival"
run 0 "next free number: 6" history
echo "services: {wrong: {kindz: 1}}" >"$WORK/wrong/0007-wrong.yaml"
run 1 "0007-wrong.yaml:1: services.wrong.kindz: unknown key; did you mean 'kinds'" apply "$WORK/wrong"
mv "$WORK/rival/0005-rival.yaml" "$WORK/rival/0006-rival.yaml"
run 0 "\+ rival.error_budget = 0.001" diff "$WORK/rival"
run 0 "0006-rival.yaml: accepted" apply "$WORK/rival"

start standin "$BIN/teststand/standin_server" --service stem-ledger --id s1 --address "$NET.2.1:8001" \
  --entry "$NET.1.1:7080"
sent() {
  python3 - "$NET.1.1:7080" <<'PY'
import sys, urllib.request
r = urllib.request.Request("http://%s/stems" % sys.argv[1], data=b"x", method="POST",
                           headers={"Lovagehold-Service": "stem-ledger", "Idempotency-Key": "k 1/2"})
print(urllib.request.urlopen(r, timeout=5).status)
PY
}
await "a request with a key is answered" sent
# The outcome is committed after the response has been sent, so that an immediate look-up may miss it.
outcome_recorded() { ctl key stem-ledger "k 1/2" | grep -qE "outcome +done"; }
await "the outcome is recorded" outcome_recorded
run 0 "outcome +done" key stem-ledger "k 1/2"
run 1 "is not claimed" key stem-ledger other

run 0 "host-2 started" timeline
check "the Chrome trace is JSON" sh -c "'$BIN/lovagectl/lovagectl' --admin $ADMIN timeline --format chrome | python3 -m json.tool >/dev/null"
run 2 "takes no --wait" status --wait
run 2 "takes 1 operands, not 0" apply
run 2 "unknown command 'aply'" aply

# A killed host is named by status and apply as long as it is a member. If its lease ends before all of them have asked,
# as the logs of the other hosts show, the host is started again and killed once more.
left_count() { cat "$WORK"/host-[12].log | grep -c 'event=host_left peer=host-3'; }
state_of() { ctl status --json | json_field "[h['state'] for h in d['hosts'] if h['host'] == 'host-3'][0]"; }
ask_about_killed_host() { # ask_about_killed_host NUMBER: returns 1 if the lease ended too early, 2 if an answer is wrong
  local left status state applied
  echo "services: {rival: {error_budget: 0.00$1}}" >"$WORK/rival/000$1-rival.yaml"
  left=$(left_count)
  kill -KILL "${HOST_PIDS[3]}"
  status=$(ctl status)
  state=$(state_of)
  applied=$(ctl apply "$WORK/rival" --wait 2>&1)
  grep -qE "host-3 +domain-3 +- +not heard from" <<<"$status" && [ "$state" = "not heard from" ] &&
    grep -q "^host-3: not heard from" <<<"$applied" && return 0
  [ "$(left_count)" -gt "$left" ] || { printf '%s\n' "$status" "$state" "$applied"; return 2; }
  start "host-3" "$BIN/lovagehold/lovagehold" --settings "$WORK/host-3.yaml"
  HOST_PIDS[3]=$LAST_PID
  await "host-3 is ready again" ready
  return 1
}
NAMED=1
for number in 7 8 9; do
  ask_about_killed_host "$number"
  NAMED=$?
  [ "$NAMED" = 1 ] || break
done
check "status, status --json and apply --wait report that a killed member is not heard from" test "$NAMED" = 0

# Without a majority, the remaining host keeps its revision and reports that it may be stale.
kill -STOP "${HOST_PIDS[1]}"
ADMIN=$NET.1.2:7082
stale() { ctl status 2>/dev/null | grep -E "host-2 .* stale"; }
await "a host cut off from control is stale" stale
run 0 "host-1 +domain-1 +- +not heard from" status
kill -CONT "${HOST_PIDS[1]}"

[ "$FAILED" = 0 ] && echo "operator: all checks passed" || { echo "operator: checks failed"; tail -n 5 "$WORK"/*.log; }
exit "$FAILED"

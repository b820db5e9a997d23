# Shell functions for the end-to-end cases. A case sets BUILD (build folder) and WORK (temporary folder), sources
# this file and calls stop_all when it exits, which stops all processes that it started.
set -u
# Hosts use the addresses NET.1.N and servers NET.2.N. Runs in parallel need different networks.
NET="${LOVAGEHOLD_TEST_NET:-127.10}"
PIDS=()
FAILED=0

start() { # start LOGNAME COMMAND...: runs a process in the background and sets LAST_PID
  local log="$WORK/$1.log"
  shift
  "$@" >"$log" 2>&1 &
  LAST_PID=$!
  PIDS+=("$LAST_PID")
}

stop_all() {
  local pid
  for pid in "${PIDS[@]}"; do kill "$pid" 2>/dev/null; done
  for pid in "${PIDS[@]}"; do
    for _ in $(seq 50); do kill -0 "$pid" 2>/dev/null || break; sleep 0.1; done
    kill -KILL "$pid" 2>/dev/null
  done
  wait 2>/dev/null
}

check() { # check TEXT COMMAND...: runs the command, prints whether it succeeded and sets FAILED if not
  local text="$1"
  shift
  if "$@"; then echo "ok: $text"; else echo "FAILED: $text"; FAILED=1; fi
}

await() { # await TEXT COMMAND...: waits until the command succeeds, at most 20 s
  local text="$1"
  shift
  for _ in $(seq 200); do "$@" >/dev/null 2>&1 && { echo "ok: $text"; return 0; }; sleep 0.1; done
  echo "FAILED: $text (not within 20 s)"
  FAILED=1
  return 1
}

json_field() { # json_field PYTHON-EXPRESSION: prints the expression over the JSON document d on stdin
  python3 -c 'import json,sys; d=json.load(sys.stdin); print(eval(sys.argv[1]))' "$1" 2>/dev/null
}

get() { # get URL: prints the body of the response
  python3 -c 'import sys,urllib.request; print(urllib.request.urlopen(sys.argv[1], timeout=5).read().decode())' "$1" 2>/dev/null
}

write_settings() { # write_settings N DOMAIN ROLES CONTROL_COUNT: writes the settings file of host N on NET.1.N
  local n="$1" domain="$2" roles="$3" controls="$4"
  {
    echo "host: host-$n"
    echo "failure_domain: $domain"
    echo "roles: [$roles]"
    echo "listen: {callers: \"$NET.1.$n:7080\", cluster: \"$NET.1.$n:7081\", admin: \"$NET.1.$n:7082\"}"
    echo "data_folder: $WORK/data-$n"
    # Short, because each case stops all hosts when it exits.
    echo "shutdown_grace: ${SHUTDOWN_GRACE:-500ms}"
    echo "shutdown_limit: ${SHUTDOWN_LIMIT:-10m}"
    echo "control:"
    for c in $(seq "$controls"); do echo "  - {id: host-$c, address: \"$NET.1.$c:7081\"}"; done
  } >"$WORK/host-$n.yaml"
}

start_hosts() { # start_hosts COUNT CONFIG: starts hosts 1..COUNT with both roles and waits until CONFIG is in force
  local count="$1" config="$2" n
  for n in $(seq "$count"); do
    write_settings "$n" "domain-$n" "entry, control" "$count"
    start "host-$n" "$BUILD/src/lovagehold/lovagehold" --settings "$WORK/host-$n.yaml"
    HOST_PIDS[$n]=$LAST_PID
  done
  await "a host answers" get "http://$NET.1.1:7082/status"
  await "the folder is accepted" "$BUILD/src/lovagectl/lovagectl" --admin "$NET.1.1:7082" apply "$config"
  for n in $(seq "$count"); do await "the change is in force on host-$n" host_in_force "$n" "$count"; done
}
declare -A HOST_PIDS=()

host_in_force() { # host_in_force N COUNT: whether host N has declarations in force and knows COUNT hosts
  get "http://$NET.1.$1:7082/status" | json_field "d['revision'] > 0 and len(d['hosts']) == $2" | grep -q True
}

standin() { # standin SERVICE NUMBER PORT [OPTIONS]: starts a server on NET.2.NUMBER that writes a journal of its runs
  local service="$1" number="$2" port="$3"
  shift 3
  start "$service-$number" "$BUILD/src/teststand/standin_server" --service "$service" \
    --id "$service-$number" --address "$NET.2.$number:$port" --entry "$NET.1.1:7080" --entry "$NET.1.2:7080" \
    --journal "$WORK/runs-$service-$number.json" "$@"
}

set_mode() { # set_mode NUMBER PORT MODE: sets the mode of a stand-in server
  get "http://$NET.2.$1:$(($2 + 1000))/standin/mode?name=$3" >/dev/null
}

eligible_servers() { # eligible_servers COUNT HOSTS: whether hosts 1..HOSTS have COUNT eligible servers in total
  local total=0 n
  for n in $(seq "$2"); do
    total=$((total + $(get "http://$NET.1.$n:7082/status" | json_field 'sum(s["eligible_servers"] for s in d["services"].values())')))
  done
  [ "$total" = "$1" ]
}

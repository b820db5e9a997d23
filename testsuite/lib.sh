# Shell functions for the end-to-end cases. A case sets BUILD, WORK and calls these; all processes that
# it started end with it.
set -u
# Cases use NET.1.N for hosts and NET.2.N for servers; parallel runs set different networks.
NET="${LOVAGEHOLD_TEST_NET:-127.10}"
PIDS=()
FAILED=0

start() { # start LOGNAME COMMAND...: runs a process in the background
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

check() { # check TEXT COMMAND...: counts and prints a failed check
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

get() { # get URL: prints the body
  python3 -c 'import sys,urllib.request; print(urllib.request.urlopen(sys.argv[1], timeout=5).read().decode())' "$1" 2>/dev/null
}

write_settings() { # write_settings N DOMAIN ROLES CONTROL_COUNT: settings of host N on NET.1.N
  local n="$1" domain="$2" roles="$3" controls="$4"
  {
    echo "host: host-$n"
    echo "failure_domain: $domain"
    echo "roles: [$roles]"
    echo "listen: {callers: \"$NET.1.$n:7080\", cluster: \"$NET.1.$n:7081\", admin: \"$NET.1.$n:7082\"}"
    echo "data_folder: $WORK/data-$n"
    # Seconds; short, because cases stop all hosts at their end.
    echo "shutdown_grace: ${SHUTDOWN_GRACE:-0.5}"
    echo "control:"
    for c in $(seq "$controls"); do echo "  - {id: host-$c, address: \"$NET.1.$c:7081\"}"; done
  } >"$WORK/host-$n.yaml"
}

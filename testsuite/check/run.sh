#!/usr/bin/env bash
# lovagehold --check accepts the examples, and invalid files give exactly the recorded output and exit code.
# Usage: run.sh BUILD_FOLDER [--record]
HERE=$(cd "$(dirname "$0")" && pwd)
BUILD=$(cd "${1:-$HERE/../../build}" && pwd)
RECORD=${2:-}
. "$HERE/../lib.sh"
LOVAGEHOLD="$BUILD/src/lovagehold/lovagehold"
cd "$HERE" || exit 1

for site in fbsa quetzal; do
  for host in entry control; do
    check "examples/$site: $host host" "$LOVAGEHOLD" --check \
      --settings "../../examples/$site/$host-host.yaml" --declarations "../../examples/$site/declarations"
  done
  declares_four_services() { [ "$("$LOVAGEHOLD" --check --declarations "../../examples/$site/declarations" | grep -c ', 4 services\| 4 services')" = 1 ]; }
  check "examples/$site declares its four services" declares_four_services
done

expect() { # expect RECORD_FILE CODE ARGUMENTS...: compares output and exit code; with --record, writes RECORD_FILE
  local recorded="$1" code="$2" output
  shift 2
  output=$("$LOVAGEHOLD" "$@" 2>&1; echo "exit code $?")
  [ "$RECORD" = --record ] && printf '%s\n' "$output" >"$recorded"
  if [ "$output" = "$(cat "$recorded")" ] && [ "${output##*exit code }" = "$code" ]; then
    echo "ok: $recorded"
  else
    echo "FAILED: $recorded; the difference:"
    diff <(printf '%s\n' "$output") "$recorded"
    FAILED=1
  fi
}

for file in wrong-settings/*.yaml; do
  expect "${file%.yaml}.expected" 1 --check --settings "$file"
done
expect wrong-declarations/expected 1 --check --declarations wrong-declarations/changes
expect wrong-use/no-file.expected 2 --check --settings no-such-file.yaml
expect wrong-use/nothing-to-check.expected 2 --check
expect wrong-use/unknown-option.expected 2 --chek
expect wrong-use/empty-folder.expected 2 --check --declarations wrong-use
expect wrong-use/routing-alone.expected 2 --routing site/routing.json
# Test files in the platform's own format are kept with the platform code.
cd "$HERE/../../platform/testing" || exit 1
expect check-site/valid.expected 0 --check --site --settings check-site/settings.json --routing check-site/routing.json
expect check-site/wrong-settings.expected 1 --check --site --settings check-site/wrong-settings.json
expect check-site/wrong-ports.expected 1 --check --site --settings check-site/wrong-ports.json
expect check-site/wrong-routing.expected 1 --check --site --routing check-site/wrong-routing.json
exit "$FAILED"

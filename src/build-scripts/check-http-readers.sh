#!/usr/bin/env bash
# Fails if the product reads HTTP by other means than src/libhttp, whose readers are bounded and don't throw.
# Stand-ins, tests and their fixtures may.
set -eu
cd "$(dirname "$0")/../.."
pattern='http::(request_|response_)?parser<|http::(async_)?read\(|beast::(flat|multi|flat_static)_buffer|dynamic_(string_)?buffer|\bread_until\(|async_read_until'
found=$(grep -rnE "$pattern" src platform --include='*.cpp' --include='*.h' |
  grep -vE '^src/(libhttp|teststand)/|_test\.cpp:|/(entry_fixture|gateway_fixture|scripted_server)\.h:' || true)
if [ -n "$found" ]; then
  echo "$found"
  echo "read HTTP with ReadBuffer, BoundedParser and async_read_message() of src/libhttp/bounded_reader.h"
  exit 1
fi

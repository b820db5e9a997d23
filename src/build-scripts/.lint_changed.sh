#!/usr/bin/env bash
# Runs clang-tidy over all translation units of the build folder given (default: build).
# Skips a unit if neither its preprocessed text nor .clang-tidy has changed since it last passed.
set -eu
cd "$(dirname "$0")/../.."
src/build-scripts/check-http-readers.sh
build=${1:-build}
cache=${LOVAGEHOLD_LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/lovagehold-lint}
mkdir -p "$cache"
export build cache
lint_one() {
  file=$1
  command=$(python3 - "$build" "$file" <<'PY'
import json, os, sys
for unit in json.load(open(os.path.join(sys.argv[1], "compile_commands.json"))):
    if os.path.relpath(unit["file"]) == sys.argv[2]:
        print(unit["command"].split(" -o ")[0].replace("ccache ", "") + " -E -P " + unit["file"])
        break
PY
)
  [ -n "$command" ] || { echo "lint: $file is in no target"; return 1; }
  key=$( { (cd "$build" && eval "$command"); cat .clang-tidy; } | sha256sum | cut -d' ' -f1)
  [ -e "$cache/$key" ] && return 0
  # clang 14 compiles the coroutines of libstdc++ but does not define the feature macros, so that Boost.Asio would
  # disable its support for them.
  coroutines="--extra-arg=-D__cpp_impl_coroutine=201902 --extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT=1 --extra-arg=-DBOOST_ASIO_HAS_STD_COROUTINE=1"
  case "$command" in *-std=gnu++17*) coroutines="" ;; esac
  if clang-tidy --quiet -p "$build" $coroutines "$file" 2>/dev/null; then touch "$cache/$key"; else echo "lint: $file failed"; return 1; fi
}
export -f lint_one
git diff --name-only --diff-filter=d 9cb42ff -- "*.cpp" | sort | xargs -r -P 4 -n 1 bash -c 'lint_one "$0"'

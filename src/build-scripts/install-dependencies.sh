#!/usr/bin/env bash
# Installs the Debian packages that building, linting and testing need. Does nothing if all are installed.
set -eu
packages=(
  build-essential cmake ninja-build ccache clang-format clang-tidy
  libboost-dev libwebsocketpp-dev libtclap-dev libspdlog-dev libyaml-cpp-dev
  nlohmann-json3-dev libxxhash-dev libssl-dev zlib1g-dev
  libgtest-dev libgmock-dev librapidcheck-dev libbenchmark-dev python3
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && { echo "dependencies: all installed"; exit 0; }
echo "dependencies: installing ${missing[*]}"
run=""
[ "$(id -u)" = 0 ] || run=sudo
$run apt-get update -qq
DEBIAN_FRONTEND=noninteractive $run apt-get install -y -qq "${missing[@]}" >/dev/null

#!/usr/bin/env bash
# Installs what the build needs, from Debian's packages.
set -euo pipefail
packages="g++ cmake ninja-build ccache pkg-config clang-format clang-tidy curl
  jq libboost-fiber-dev libboost-context-dev libboost-system-dev
  libcapnp-dev liblog4cxx-dev libabsl-dev libcpputest-dev librapidcheck-dev
  liblua5.4-dev libxxhash-dev libssl-dev nlohmann-json3-dev"
missing=""
for package in $packages; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'install ok installed' || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
[ "$(id -u)" = 0 ] || { echo "run as root to install:$missing" >&2; exit 1; }
apt-get update -q >/dev/null
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y -q $missing >/dev/null

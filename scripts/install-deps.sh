#!/bin/bash
# Installs everything that building and testing needs, as Debian packages.
set -euo pipefail
packages=(g++ gcc cmake ninja-build pkg-config ccache clang-format clang-tidy spin curl jq openssl git
  libtbb-dev libcereal-dev libcpp-httplib-dev libpopt-dev liblog4cxx-dev
  nlohmann-json3-dev libssl-dev libxxhash-dev libgtest-dev libgmock-dev
  libspdlog-dev libboost1.81-dev zlib1g-dev)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
sudo=""
[ "$(id -u)" -eq 0 ] || sudo="sudo"
$sudo apt-get update -qq
$sudo env DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends "${missing[@]}"

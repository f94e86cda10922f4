#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need.
set -euo pipefail
packages=(
  g++ cmake ninja-build pkg-config ccache clang-format clang-tidy python3
  libevent-dev libnng-dev prometheus-cpp-dev libcxxopts-dev
  liblog4cxx-dev librapidcheck-dev libgtest-dev libtomlplusplus-dev
  nlohmann-json3-dev libxxhash-dev libssl-dev zlib1g-dev curl
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' ||
    missing+=("$package")
done
if ((${#missing[@]})); then
  apt-get update -q
  apt-get install -y -q --no-install-recommends "${missing[@]}"
fi

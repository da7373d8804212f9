#!/usr/bin/env bash
# Installs the Debian packages that building, testing and linting need.
# Does nothing when all of them are present, so it works offline after the
# first run.
set -euo pipefail

packages=(
    build-essential cmake ninja-build ccache clang-format clang-tidy
    libasio-dev libthrift-dev thrift-compiler prometheus-cpp-dev
    libcpp-httplib-dev libboost-program-options-dev libgoogle-glog-dev
    libabsl-dev doctest-dev librapidcheck-dev nlohmann-json3-dev
    libhttp-parser-dev libinih-dev libxxhash-dev libssl-dev python3 python3-thrift
    python3-aiohttp
)

missing=()
for package in "${packages[@]}"; do
    status=$(dpkg-query -W -f='${db:Status-Status}' "$package" 2>/dev/null || true)
    [ "$status" = installed ] || missing+=("$package")
done

if [ "${#missing[@]}" -eq 0 ]; then
    exit 0
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update -q
apt-get install -y -q --no-install-recommends "${missing[@]}"

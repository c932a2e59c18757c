#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the linters need.
set -euo pipefail

packages=(
    g++ cmake make ninja-build ccache pkg-config clang-format clang-tidy
    libabsl-dev libcereal-dev libboost-dev libmicrohttpd-dev
    libcurl4-openssl-dev libcxxopts-dev libfmt-dev libcpputest-dev
    nlohmann-json3-dev libxxhash-dev libsodium-dev librapidcheck-dev
    python3 curl
)

missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null \
        | grep -q 'ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
    export DEBIAN_FRONTEND=noninteractive
    apt-get update -qq
    apt-get install -y -qq "${missing[@]}" >/dev/null
fi

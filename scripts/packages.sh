#!/usr/bin/env bash
# Installs the Debian packages that the build, the checks and the tests need.
set -euo pipefail

packages=(
    build-essential cmake ninja-build ccache pkg-config git
    clang clang-format clang-tidy libclang-rt-14-dev
    libasio-dev libwebsocketpp-dev librestinio-dev libcurl4-openssl-dev libssl-dev
    prometheus-cpp-dev liblog4cxx-dev libgflags-dev libsimpleini-dev
    nlohmann-json3-dev libexpected-dev libmsgsl-dev libxxhash-dev libfmt-dev
    libcppunit-dev librapidcheck-dev libbenchmark-dev curl python3
)

missing=()
for package in "${packages[@]}"; do
    if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed'; then
        missing+=("$package")
    fi
done
if [ "${#missing[@]}" -gt 0 ]; then
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
fi

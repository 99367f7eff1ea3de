#!/usr/bin/env bash
# build.sh FOLDER [CMAKE ARGUMENTS...]: configures and builds into a folder.
set -euo pipefail
cd "$(dirname "$0")/.."

folder=$1
shift
cmake -S . -B "$folder" -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache "$@" >/dev/null
ninja -C "$folder" --quiet

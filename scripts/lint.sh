#!/usr/bin/env bash
# lint.sh BUILD_FOLDER [FILE...]: runs clang-tidy on all sources or on the given ones.
set -euo pipefail
cd "$(dirname "$0")/.."

folder=$1
shift
files=("$@")
if [ "${#files[@]}" -eq 0 ]; then
    mapfile -t files < <(git ls-files --cached --others --exclude-standard 'src/*.cpp' 'apps/*.cpp' 'standins/*.cpp' 'bench/*.cpp' 'samples/*.cpp')
fi
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy -p "$folder" --quiet 2>/dev/null

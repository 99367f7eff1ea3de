#!/usr/bin/env bash
# fuzz.sh [RUNS]: feeds drawn bytes to every decoder; the draws are the same each time.
set -euo pipefail
cd "$(dirname "$0")/.."

runs=${1:-150000}
cmake -S . -B build-fuzz -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DCMAKE_CXX_COMPILER_LAUNCHER=ccache \
    -DPERIDOT_TESTS=OFF -DPERIDOT_FUZZ=ON -DPERIDOT_SANITIZE=address,fuzzer-no-link >/dev/null
ninja -C build-fuzz --quiet decoder_fuzzer
found=$(mktemp -d)
trap 'rm -rf "$found"' EXIT
# New inputs go to the first folder, which does not last.
build-fuzz/fuzz/decoder_fuzzer -seed=20261204 -runs="$runs" -max_len=4096 -timeout=5 \
    -artifact_prefix="$found/" -print_final_stats=1 "$found" fuzz/corpus 2>"$found/log" || {
    tail -n 40 "$found/log"
    exit 1
}
grep -E 'number_of_executed_units' "$found/log"

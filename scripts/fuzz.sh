#!/usr/bin/env bash
# fuzz.sh [RUNS]: feeds random bytes with a fixed seed to every decoder.
set -euo pipefail
cd "$(dirname "$0")/.."

runs=${1:-150000}
cmake -S . -B build-fuzz -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DCMAKE_CXX_COMPILER_LAUNCHER=ccache \
    -DPERIDOT_TESTS=OFF -DPERIDOT_FUZZ=ON -DCMAKE_CXX_FLAGS=-fno-sanitize-recover=all \
    -DPERIDOT_SANITIZE=address,undefined,float-cast-overflow,fuzzer-no-link >/dev/null
ninja -C build-fuzz --quiet decoder_fuzzer
new_inputs=$(mktemp -d)
trap 'rm -rf "$new_inputs"' EXIT
# New inputs are written to the first folder, which is temporary.
build-fuzz/fuzz/decoder_fuzzer -seed=20261204 -runs="$runs" -max_len=32768 -timeout=5 \
    -artifact_prefix="$new_inputs/" -print_final_stats=1 "$new_inputs" fuzz/corpus 2>"$new_inputs/log" || {
    tail -n 40 "$new_inputs/log"
    exit 1
}
grep -E 'number_of_executed_units' "$new_inputs/log"

#!/usr/bin/env bash
# fuzz.sh [RUNS]: feeds random bytes with a fixed seed to every decoder and to the path of requests.
set -euo pipefail
cd "$(dirname "$0")/.."

runs=${1:-150000}
cmake -S . -B build-fuzz -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DCMAKE_CXX_COMPILER_LAUNCHER=ccache \
    -DPERIDOT_TESTS=OFF -DPERIDOT_FUZZ=ON -DCMAKE_CXX_FLAGS=-fno-sanitize-recover=all \
    -DPERIDOT_SANITIZE=address,undefined,float-cast-overflow,fuzzer-no-link >/dev/null
ninja -C build-fuzz --quiet decoder_fuzzer request_fuzzer
new_inputs=$(mktemp -d)
trap 'rm -rf "$new_inputs"' EXIT

# fuzz NAME RUNS [CORPUS]: new inputs are written to the first folder, which is temporary.
fuzz() {
    local name=$1 runs=$2
    shift 2
    mkdir "$new_inputs/$name"
    "build-fuzz/fuzz/$name" -seed=20261204 -runs="$runs" -max_len=32768 -timeout=5 \
        -artifact_prefix="$new_inputs/" -print_final_stats=1 "$new_inputs/$name" "$@" \
        2>"$new_inputs/log" || {
        tail -n 40 "$new_inputs/log"
        exit 1
    }
    grep -E 'number_of_executed_units' "$new_inputs/log"
}

fuzz decoder_fuzzer "$runs" fuzz/corpus
# Each of its inputs plays several connections.
fuzz request_fuzzer $((runs / 10)) fuzz/request_corpus

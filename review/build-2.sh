#!/usr/bin/env bash
# Builds the stand-in that the scripts of the second review start, into build/review-2. Needs the deploy
# file's build in target/, whose libraries it links, and no package that the deploy file doesn't list.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 8))'
folder=build/review-2/standins
mkdir -p "$folder"
objects=()
for source in fleet_main log_store task_worker vm_pools; do
    g++ -std=c++17 -O2 -DASIO_STANDALONE -DSI_NO_CONVERSION -Iinclude -I. \
        -c "standins/fleet/$source.cpp" -o "$folder/$source.o" &
    objects+=("$folder/$source.o")
done
for job in $(jobs -p); do
    wait "$job"
done
g++ -o "$folder/standin-fleet" "${objects[@]}" \
    -Wl,--start-group target/libperidot_*.a -Wl,--end-group \
    -lcurl -lhttp_parser -llog4cxx -lprometheus-cpp-core -lfmt -lxxhash -lcrypto -lgflags -lpthread

#!/usr/bin/env bash
# seeds.sh FIRST LAST [SOAK OPTIONS...]: runs the soak with a range of seeds, some in parallel.
# Exits with 1 if any run violated a guarantee.
set -uo pipefail
cd "$(dirname "$0")/.."

first=$1
last=$2
shift 2
side_by_side=${SIDE_BY_SIDE:-3}
# Seeds that run in parallel use different port ranges.
ports_each=120
export base_port=${BASE_PORT:-17200} ports_each side_by_side

play() {
    local seed=$1
    shift
    python3 soak/soak.py --seed "$seed" --base_port $((base_port + seed % side_by_side * ports_each)) "$@"
}
export -f play

# Seeds that share a port range run one after the other.
codes=0
for place in $(seq 0 $((side_by_side - 1))); do
    (
        code=0
        for seed in $(seq "$first" "$last"); do
            if [ $((seed % side_by_side)) -eq "$place" ]; then
                play "$seed" "$@" || code=1
            fi
        done
        exit "$code"
    ) &
done
for job in $(jobs -p); do
    wait "$job" || codes=1
done
exit "$codes"

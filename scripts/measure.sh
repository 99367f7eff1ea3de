#!/usr/bin/env bash
# measure.sh CONF POLICY SEED SECONDS: runs a configuration's workload against a complete system with
# one slot policy (leases or two_choices) and prints the waits, the ideal queue's waits for one
# pool, and what the control messages and the entries' processors cost.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/cluster.sh

policy=$2
seed=$3
seconds=$4
settings=$run_dir/conf
cp -r "$root/conf/$1" "$settings"
sed -i "s/^slot_policy = .*/slot_policy = $policy/" "$settings"/entry-*.ini
pool=${POOL:-defect-reports}
slots=${SLOTS:-96}

# gauges NAME: the sum of a gauge over all entries.
gauges() {
    local number
    for number in $(seq "$entry_count"); do
        curl -sf -H "Authorization: Bearer $(cat "$run_dir/token")" \
            "http://127.0.0.1:$(setting "$conf/entry-$number.ini" operator_port)/metrics" |
            sed -n "s/^peridot_gauge{name=\"$1\"} //p"
    done | awk '{ sum += $1 } END { printf "%.0f", sum }'
}

# processor_ms: processor time of all entries so far.
processor_ms() {
    local number
    for number in $(seq "$entry_count"); do
        awk -v hz="$(getconf CLK_TCK)" '{ print ($14 + $15) * 1000 / hz }' \
            "/proc/${pids[entry-$number]}/stat"
    done | awk '{ sum += $1 } END { printf "%.0f", sum }'
}

resident_kb() {
    local number
    for number in $(seq "$entry_count"); do
        awk '/^VmRSS/ { print $2 }' "/proc/${pids[entry-$number]}/status"
    done | sort -n | tail -1
}

start_system "$settings" >/dev/null
sleep 5
idle_bytes=$(gauges peer_sent_bytes)
idle_ms=$(processor_ms)
sleep 10
echo "idle, per entry: $((($(gauges peer_sent_bytes) - idle_bytes) / 10 / entry_count)) bytes/s," \
    "$((($(processor_ms) - idle_ms) / 10 / entry_count)) ms of processor per second"
before_bytes=$(gauges peer_sent_bytes)
before_ms=$(processor_ms)
"$build_dir/apps/peridot-load" --workload "$conf/workload.ini" --seed "$seed" \
    --duration_s "$seconds" --check --csv_out "$run_dir/load.csv"
requests=$(($(wc -l <"$run_dir/load.csv") - 1))
echo "under load, per entry: $((($(gauges peer_sent_bytes) - before_bytes) / seconds / entry_count)) bytes/s" \
    "between entries, $(((($(processor_ms) - before_ms) * 1000) / requests)) us of processor per request," \
    "largest resident set $(resident_kb) kB"
echo "one ideal queue over $slots slots of $pool:"
"$build_dir/bench/ideal_queue" --csv "$run_dir/load.csv" --pool "$pool" --slots "$slots"

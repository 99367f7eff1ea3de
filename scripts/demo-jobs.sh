#!/usr/bin/env bash
# Runs jobs on three scheduler nodes and a stand-in of the platform, and kills the owner meanwhile.
# Exits non-zero if a job does not end. Expects a build; see scripts/demo.sh.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/cluster.sh

fleet=17900
node_port() { echo $((18000 + $1 * 10)); }

write_settings() {
    local port
    port=$(node_port "$1")
    cat >"$run_dir/node-$1.ini" <<INI
[node]
name = node-$1
zone = one
cluster_token = demo
[listen]
callers = 127.0.0.1:$port
ready = 127.0.0.1:$((port + 1))
peers = 127.0.0.1:$((port + 2))
metrics = 127.0.0.1:$((port + 3))
[platform]
log = 127.0.0.1:$fleet
vm_control = 127.0.0.1:$fleet
[limits]
cpu_cores = 0.5
longest_lease_ms = 6000
grace_s = 6
retention_s = 120
vm_lease_ms = 3000
move_s = 1.5
maintenance_s = 2
INI
}

# job NODE METHOD ID [BODY]: calls a node as a caller does, and prints status and body.
job() {
    curl -s -m 5 -X "$2" -H 'Host: demo.example' ${4:+--data "$4"} -w ' %{http_code}\n' \
        "http://127.0.0.1:$(node_port "$1")/quick/$3"
}

has_state() {
    job "$1" GET "$2" | grep -q "\"$3\""
}

start fleet "$build_dir/standins/standin-fleet" --port="$fleet" --pools=quick
wait_until 10 curl -sf "http://127.0.0.1:$fleet/ledger"
curl -sf -X POST "http://127.0.0.1:$fleet/operator?key=config" --data '{"version":1,"routes":[{"name":
    "quick","host":"demo.example","path-prefix":"/quick/","service":"quick","attempts":3,"stretch":1.6,
    "target-duration-ms":600}],"services":[{"name":"quick"},{"name":"spare","spare":true}]}' >/dev/null
for node in 1 2 3; do
    write_settings "$node"
    start "node-$node" "$build_dir/apps/peridot-scheduler" --settings="$run_dir/node-$node.ini"
done
for node in 1 2 3; do
    wait_until 10 curl -sf "http://127.0.0.1:$(($(node_port "$node") + 1))/"
done

short='{"spec":"{\"ms\":400}","steps":[{"count":6,"cpu":2000,"estimate-ms":400},
    {"count":3,"cpu":4000,"estimate-ms":400,"depends-on":[0]}]}'
long='{"spec":"{\"ms\":3000}","steps":[{"count":8,"cpu":2000,"estimate-ms":3000}]}'
echo "A job of two steps:       $(job 1 POST 00000000000000a1 "$short")"
wait_until 10 has_state 2 00000000000000a1 completed
echo "asked at another node:    $(job 2 GET 00000000000000a1)"
where="$build_dir/apps/peridotctl --cpu_millis=2000 --workers=2"
for node in 1 2 3; do
    echo "Where a task would start, asked at node-$node:"
    $where --url="http://127.0.0.1:$(($(node_port "$node") + 3))" where demo.example/quick/ |
        tee "$run_dir/where"
    grep -q '^starts now on ' "$run_dir/where"
done
echo "A job of three seconds:   $(job 1 POST 00000000000000a2 "$long")"
sleep 1
owner=$(grep -l owner_loaded "$run_dir"/node-*.log | sed 's/.*\(node-[0-9]\).*/\1/' | tail -n 1)
echo "The owner, $owner, is killed."
stop "$owner" KILL || true
asked=$((${owner#node-} % 3 + 1))
wait_until 15 has_state "$asked" 00000000000000a2 completed
echo "asked at node-$asked:          $(job "$asked" GET 00000000000000a2)"
echo "The nodes' logs of the change of owner:"
"$build_dir/apps/peridotctl" explain job 00000000000000a2 "$run_dir"/node-*.log | cut -c1-150
curl -s "http://127.0.0.1:$fleet/ledger" | python3 -c '
import json, sys
starts = [event["task"] for event in json.load(sys.stdin) if event["what"] == "start"]
print(f"{len(starts)} starts of {len(set(starts))} tasks")
sys.exit(len(starts) != len(set(starts)))'

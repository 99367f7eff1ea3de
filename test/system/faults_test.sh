#!/usr/bin/env bash
# faults_test.sh SCENARIO: starts the demo's system, injects faults under load, and compares the
# answers to callers with the workers' ledgers. The seed of the load is fixed.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/cluster.sh

fail() {
    echo "FAILED: $*" >&2
    tail -n 5 "$run_dir"/*.log >&2
    exit 1
}

start_load() {
    start load "$build_dir/apps/peridot-load" --workload "$conf/workload.ini" --seed 20261204 \
        --duration_s "$1" --check --json_out "$run_dir/report.json" --csv_out "$run_dir/requests.csv"
}

# Waits for the load to end, which fails if a request was lost, run twice, got another one's answer,
# or was wrongly reported as not run.
end_load() {
    local code=0
    wait "${pids[load]}" || code=$?
    unset "pids[load]"
    cat "$run_dir/load.log"
    [ "$code" -eq 0 ] || fail "the load ended with code $code"
}

# ends_with CODE: prints how many requests ended with this code.
ends_with() {
    grep -c ",$1," "$run_dir/requests.csv" || true
}


view_has() {
    [ "$(ctl status --json | python3 -c 'import json,sys; print(len(json.load(sys.stdin)["view"]["members"]))')" -eq "$1" ]
}

platform_fault() {
    post "$platform_url/faults" "$1"
}

worker_fault() {
    post "http://127.0.0.1:$1/faults" "{\"answers\": \"$2\"}"
}

# Fails unless every keyed request ended with an answer or with an unknown outcome.
assert_all_keyed_answered() {
    local unanswered
    unanswered=$(grep -E '^(defect-reports|photo-checks),' "$run_dir/requests.csv" |
        grep -cvE ',(done|outcome_unknown/[a-z_]+),' || true)
    [ "$unanswered" -eq 0 ] || fail "$unanswered keyed requests ended as neither done nor unknown"
}

scenario_entry_killed() {
    start_load 12
    sleep 3
    stop entry-2 KILL || true
    wait_until 30 view_has 2
    sleep 1
    start_entry 2
    wait_until 30 view_has 3
    end_load
    assert_all_keyed_answered
}

scenario_entry_paused() {
    start_load 14
    sleep 3
    signal entry-3 STOP
    wait_until 30 view_has 2
    signal entry-3 CONT
    local code=0
    wait "${pids[entry-3]}" || code=$?
    unset "pids[entry-3]"
    [ "$code" -eq 75 ] || fail "the evicted entry ended with code $code instead of 75"
    start_entry 3
    wait_until 30 view_has 3
    end_load
    assert_all_keyed_answered
}

scenario_entry_left() {
    start_load 10
    sleep 3
    stop entry-1 || fail "the leaving entry ended with code $?"
    start_entry 1
    wait_until 30 healthy "$conf/entry-1.ini"
    wait_until 30 view_has 3
    end_load
    assert_all_keyed_answered
    [ "$(ends_with no_answer)" -eq 0 ] || fail "a graceful shutdown cut off requests"
}

scenario_log_outage() {
    start_load 12
    sleep 2
    platform_fault '{"log_down": true}'
    sleep 4
    platform_fault '{"log_down": false, "lose_append_answers": true}'
    ctl contract apply "$conf/contracts.ini" --wait || fail "the change was lost with its answer"
    platform_fault '{"lose_append_answers": false, "log_delay_ms": 500}'
    sleep 1
    platform_fault '{"log_delay_ms": 0}'
    end_load
    assert_all_keyed_answered
    [ "$(ends_with done)" -eq "$(($(wc -l <"$run_dir/requests.csv") - 1))" ] ||
        fail "requests failed during an outage of the log"
}

scenario_bad_workers() {
    local first second third
    read -r first second third <<<"$(sed -n 's/.*"port": \([0-9]*\).*/\1/p' "$conf/vms.json" | head -4 | tr '\n' ' ')"
    start_load 12
    sleep 1
    worker_fault "$first" truncate
    sleep 2
    worker_fault "$first" crossed
    sleep 2
    worker_fault "$first" refuse_all
    sleep 2
    worker_fault "$first" fail_all
    sleep 2
    worker_fault "$first" none
    end_load
}

scenario_worker_killed() {
    local port
    port=$(sed -n 's/.*"port": \([0-9]*\).*/\1/p' "$conf/vms.json" | head -1)
    start_load 8
    sleep 3
    signal "worker-$port" STOP
    sleep 1
    signal "worker-$port" CONT
    end_load
    assert_all_keyed_answered
}

scenario_maintenance() {
    start_load 14
    sleep 1
    ctl maintenance declare wave-1 reports --wait
    platform_fault '{"lose_reboot_answers": true}'
    wait_until 60 wave_is wave-1 finished
    end_load
    assert_all_keyed_answered
    [ "$(ends_with done)" -eq "$(($(wc -l <"$run_dir/requests.csv") - 1))" ] ||
        fail "requests failed during maintenance"
    local reboots
    reboots=$(curl -sf "$platform_url/ledger")
    [[ "$reboots" == *'"reboots":{"reports-1":1,"reports-2":1}'* ]] || fail "reboots: $reboots"
}

wave_is() {
    ctl maintenance status | grep -q "^$1 .* $2 "
}

# Sends bytes to a port and ignores the response.
send_bytes() {
    timeout 2 bash -c "exec 3<>/dev/tcp/127.0.0.1/$1; cat >&3; timeout 0.3 cat <&3" >/dev/null 2>&1 || true
}

scenario_bad_input() {
    local key port
    for key in caller_port operator_port peer_port; do
        port=$(setting "$conf/entry-1.ini" "$key")
        head -c 5000 /dev/zero | tr '\0' '\377' | send_bytes "$port"
        printf 'GET / HTTP/1.1\r\nContent-Length: 999999999999\r\n\r\n' | send_bytes "$port"
        printf 'GET /%s HTTP/1.1\r\n\r\n' "$(head -c 20000 /dev/zero | tr '\0' a)" | send_bytes "$port"
    done
    local entry=http://127.0.0.1:$(setting "$conf/entry-1.ini" caller_port)
    local operators=http://127.0.0.1:$(setting "$conf/entry-1.ini" operator_port)
    expect_status 401 "$entry/v1/reports/x"
    expect_status 401 -H 'Authorization: Bearer wrong' "$entry/v1/reports/x"
    expect_status 404 -H 'Authorization: Bearer schools-key' "$entry/v1/nowhere/x"
    expect_status 400 -X POST -H 'Authorization: Bearer schools-key' \
        -H "Idempotency-Key: $(head -c 200 /dev/zero | tr '\0' k)" "$entry/v1/reports/x"
    expect_status 401 "$operators/v1/state"
    expect_status 401 -H 'Authorization: Bearer wrong' "$operators/metrics"
    expect_status 400 -X PUT -H "Authorization: Bearer $(cat "$run_dir/token")" -d '{"contract": 7}' \
        "$operators/v1/contracts/schools"
    expect_status 404 -X PUT -H "Authorization: Bearer $(cat "$run_dir/token")" \
        -d '{"wave": {"id": "w", "pool": "nowhere"}}' "$operators/v1/waves/w"
    expect_status 200 -X POST -H 'Authorization: Bearer schools-key' -H 'Idempotency-Key: twice' \
        -d one "$entry/v1/reports/x"
    expect_status 200 -X POST -H 'Authorization: Bearer schools-key' -H 'Idempotency-Key: twice' \
        -d one "$entry/v1/reports/x"
    expect_status 422 -X POST -H 'Authorization: Bearer schools-key' -H 'Idempotency-Key: twice' \
        -d other "$entry/v1/reports/x"
    start_load 3
    end_load
}

expect_status() {
    local wanted=$1 got
    shift
    got=$(curl -s -o /dev/null -w '%{http_code}' "$@")
    [ "$got" = "$wanted" ] || fail "status $got instead of $wanted for $*"
}

scenario_entry_cut_off() {
    platform_fault '{"cut_off": "entry-2"}'
    wait_until 10 cut_off_is_noticed
    post "$platform_url/leaving?vm=reports-1" ''
    ctl contract apply "$conf/contracts.ini" --wait || fail "a change did not reach the entry that is cut off"
    sleep 2
    local port before after
    port=$(sed -n 's/.*"port": \([0-9]*\).*/\1/p' "$conf/vms.json" | head -1)
    before=$(curl -sf "http://127.0.0.1:$port/ledger" | grep -o '"started":[0-9]*')
    start_load 5
    end_load
    after=$(curl -sf "http://127.0.0.1:$port/ledger" | grep -o '"started":[0-9]*')
    [ "$before" = "$after" ] || fail "a leaving VM was given work: $before, then $after"
    [ "$(ends_with done)" -eq "$(($(wc -l <"$run_dir/requests.csv") - 1))" ] ||
        fail "requests failed while an entry was cut off from the log"
}

cut_off_is_noticed() {
    curl -sf -H "Authorization: Bearer $(cat "$run_dir/token")" \
        "http://127.0.0.1:$(setting "$conf/entry-2.ini" operator_port)/v1/offset" |
        grep -q '"log_connected":false'
}

# Replaces every entry, one after the other, under load.
scenario_entries_replaced() {
    start_load 25
    local number
    for number in 1 2 3; do
        sleep 2
        stop "entry-$number" || fail "entry $number ended with code $?"
        start_entry "$number"
        wait_until 30 healthy "$conf/entry-$number.ini"
        wait_until 30 view_has 3
    done
    end_load
    assert_all_keyed_answered
    [ "$(ends_with no_answer)" -eq 0 ] || fail "a graceful shutdown cut off requests"
}

# Pauses the planner that holds the term during a wave: another planner continues the wave, and the
# first one has no effect when it resumes.
scenario_planner_paused() {
    start_load 40
    ctl maintenance declare wave-1 reports --wait
    sleep 1
    local holder
    holder=$(ctl status | sed -n 's/.*held by planner-\(entry-[0-9]\)-.*/\1/p')
    signal "planner-${holder#entry-}" STOP
    wait_until 60 wave_is wave-1 finished
    signal "planner-${holder#entry-}" CONT
    end_load
    assert_all_keyed_answered
    local reboots
    reboots=$(curl -sf "$platform_url/ledger")
    [[ "$reboots" == *'"reboots":{"reports-1":1,"reports-2":1}'* ]] || fail "reboots: $reboots"
}

# An availability zone fails: its entry is killed, and its workers do not answer for a while.
scenario_zone_lost() {
    start_load 14
    sleep 3
    stop entry-2 KILL || true
    local port
    for port in $(zone_ports zone-b); do
        signal "worker-$port" STOP
    done
    wait_until 30 view_has 2
    sleep 1
    for port in $(zone_ports zone-b); do
        signal "worker-$port" CONT
    done
    end_load
    assert_all_keyed_answered
}

# zone_ports ZONE: prints the ports of the zone's workers.
zone_ports() {
    python3 -c 'import json, sys
for listed in json.load(open(sys.argv[1]))["vms"]:
    if listed["vm"]["zone"] == sys.argv[2]:
        print(listed["vm"]["port"])' "$conf/vms.json" "$1"
}

scenario_vm_leaving() {
    post "$platform_url/leaving?vm=reports-1" ''
    local port before after
    port=$(sed -n 's/.*"port": \([0-9]*\).*/\1/p' "$conf/vms.json" | head -1)
    sleep 2
    before=$(curl -sf "http://127.0.0.1:$port/ledger" | grep -o '"started":[0-9]*')
    start_load 5
    end_load
    after=$(curl -sf "http://127.0.0.1:$port/ledger" | grep -o '"started":[0-9]*')
    [ "$before" = "$after" ] || fail "a leaving VM was given work: $before, then $after"
}

start_system "$root/conf/demo" >/dev/null
"scenario_$1"

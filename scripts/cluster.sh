# Functions to start and stop a complete local system, for demos and tests. Sourced by other scripts.
# Ends only the processes that it started, by process id.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
build_dir=${BUILD_DIR:-$root/build}
run_dir=$(mktemp -d)
declare -A pids=()

# start NAME COMMAND...: starts a process in the background; its log goes to the run folder. Fails if
# a process of this name was started and not stopped, since its id would be lost.
start() {
    local name=$1
    shift
    if [ -n "${pids[$name]:-}" ]; then
        echo "already started: $name" >&2
        return 1
    fi
    "$@" >"$run_dir/$name.log" 2>&1 &
    pids[$name]=$!
}

# stop NAME [SIGNAL]: sends a signal and waits for the process's end; returns its exit code.
stop() {
    local pid=${pids[$1]}
    local code=0
    unset "pids[$1]"
    kill "-${2:-TERM}" "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || code=$?
    return "$code"
}

# signal NAME SIGNAL: sends a signal and does not wait.
signal() {
    kill "-$2" "${pids[$1]}"
}

stop_all() {
    local name
    for name in "${!pids[@]}"; do
        kill -CONT "${pids[$name]}" 2>/dev/null || true
        kill -KILL "${pids[$name]}" 2>/dev/null || true
    done
    for name in "${!pids[@]}"; do
        wait "${pids[$name]}" 2>/dev/null || true
    done
    rm -rf "$run_dir"
}
trap stop_all EXIT
# A closed pipe or a signal must not leave processes behind.
trap 'exit 1' HUP INT TERM PIPE

# wait_until SECONDS COMMAND...: repeats a command until it succeeds.
wait_until() {
    local end=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        if [ "$SECONDS" -ge "$end" ]; then
            echo "timed out waiting for: $*" >&2
            return 1
        fi
        sleep 0.1
    done
}

# setting FILE KEY: prints a value of an entry's settings.
setting() {
    sed -n "s/^$2 = //p" "$1"
}

# healthy FILE: whether the entry with these settings takes callers' requests.
healthy() {
    curl -sf "http://127.0.0.1:$(setting "$1" operator_port)/healthz"
}

# ctl ARGUMENTS...: runs peridotctl against the first entry that is ready.
ctl() {
    local number
    for number in $(seq "$entry_count"); do
        healthy "$conf/entry-$number.ini" >/dev/null && break
    done
    "$build_dir/apps/peridotctl" --url "http://127.0.0.1:$(setting "$conf/entry-$number.ini" operator_port)" \
        --token_file "$run_dir/token" "$@"
}

# post URL BODY: sends a fault switch to a stand-in.
post() {
    curl -sf -X POST -H 'Content-Type: application/json' -d "$2" "$1" >/dev/null
}

start_standins() {
    local port
    start platform "$build_dir/standins/standin-platform" --vms "$conf/vms.json" \
        --port "$platform_port"
    for port in $(sed -n 's/.*"port": \([0-9]*\).*/\1/p' "$conf/vms.json"); do
        start "worker-$port" "$build_dir/standins/standin-worker" --port "$port" --slots 8
    done
    wait_until 10 curl -sf "http://127.0.0.1:$platform_port/vms"
}

# start_entry NUMBER: starts one entry, and its planner unless it runs: it is a process of its own and
# goes on while its entry is started anew.
start_entry() {
    start "entry-$1" "$build_dir/apps/peridot-entry" --settings "$conf/entry-$1.ini"
    if [ -z "${pids[planner-$1]:-}" ]; then
        start "planner-$1" "$build_dir/apps/peridot-planner" --settings "$conf/entry-$1.ini"
    fi
}

# start_system CONF: starts the stand-ins and every entry of a configuration folder, and applies its
# contracts.
start_system() {
    conf=$1
    platform_port=$(setting "$conf/entry-1.ini" platform_url | sed 's/.*://')
    platform_url=http://127.0.0.1:$platform_port
    setting "$conf/entry-1.ini" operator_token >"$run_dir/token"
    entry_count=$(find "$conf" -name 'entry-*.ini' | wc -l)
    start_standins
    local number
    for number in $(seq "$entry_count"); do
        start_entry "$number"
    done
    for number in $(seq "$entry_count"); do
        wait_until 30 healthy "$conf/entry-$number.ini"
    done
    wait_until 30 contracts_apply
}

contracts_apply() {
    ctl contract apply "$conf/contracts.ini" --wait
}

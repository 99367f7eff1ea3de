#!/usr/bin/env bash
# cluster_test.sh: starts an entry anew with stubs for the programs; nothing may run on after the end.
# Guards against planners of former entries that went on against the systems of later tests.
set -euo pipefail
cd "$(dirname "$0")/../.."

stubs=$(mktemp -d)
started=$stubs/started
touch "$started"

# running: prints the process ids of the stubs that run.
running() {
    local name pid
    while read -r name pid; do
        if kill -0 "$pid" 2>/dev/null; then
            echo "$name $pid"
        fi
    done <"$started"
}

end_stubs() {
    running | while read -r _ pid; do
        kill -KILL "$pid"
    done
    rm -rf "$stubs"
}
trap end_stubs EXIT

mkdir "$stubs/apps"
for program in peridot-entry peridot-planner; do
    printf '#!/bin/sh\necho "%s $$" >>"%s"\nexec sleep 60\n' "$program" "$started" >"$stubs/apps/$program"
    chmod +x "$stubs/apps/$program"
done

BUILD_DIR=$stubs bash -euo pipefail -c '
    source scripts/cluster.sh
    conf=$run_dir
    started=$1
    has_started() { [ "$(grep -c "^peridot-$1 " "$started")" -ge "$2" ]; }
    start_entry 1
    wait_until 10 has_started entry 1
    wait_until 10 has_started planner 1
    stop entry-1 || true
    start_entry 1
    wait_until 10 has_started entry 2
    # A second planner would have started by then.
    sleep 0.5
' _ "$started"

left=$(running)
if [ -n "$left" ]; then
    echo "FAILED: still running after the end: $left" >&2
    exit 1
fi
planners=$(grep -c '^peridot-planner ' "$started")
if [ "$planners" -ne 1 ]; then
    echo "FAILED: $planners planners were started for one entry" >&2
    exit 1
fi

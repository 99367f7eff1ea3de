#!/usr/bin/env bash
# Builds everything, starts a whole system on this machine, runs a load and prints what became of
# it; then runs jobs. Exits non-zero if a promise broke.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/packages.sh
scripts/build.sh build
source scripts/cluster.sh

start_system "$root/conf/demo"
ctl status
echo
"$build_dir/apps/peridot-load" --workload "$conf/workload.ini" --seed "${SEED:-1}" \
    --duration_s "${DURATION_S:-10}" --check

scripts/demo-jobs.sh

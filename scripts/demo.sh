#!/usr/bin/env bash
# Builds everything, starts a complete local system, applies a load and prints its results; then
# runs jobs. Exits non-zero if a guarantee was violated.
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

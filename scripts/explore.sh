#!/usr/bin/env bash
# explore.sh BUILD_FOLDER [CASES]: runs the property tests with a random seed, which it prints.
set -euo pipefail
cd "$(dirname "$0")/.."

folder=$1
seed=$(od -An -N4 -tu4 /dev/urandom | tr -d ' ')
export RC_PARAMS="seed=$seed max_success=${2:-5000}"
echo "RC_PARAMS=\"$RC_PARAMS\""
for program in "$folder"/test/test_*; do
    [ -x "$program" ] && [ -f "$program" ] && "$program"
done

#!/usr/bin/env bash
# regressions.sh [SOAK OPTIONS...]: plays again what regressions.txt lists. Exits with 1 if a promise
# broke in any.
set -uo pipefail
cd "$(dirname "$0")/.."

code=0
while read -r -a listed; do
    python3 soak/soak.py "${listed[@]}" "$@" || code=1
done < <(grep -v '^#' soak/regressions.txt)
exit "$code"

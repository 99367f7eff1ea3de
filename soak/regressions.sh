#!/usr/bin/env bash
# regressions.sh [SOAK OPTIONS...]: repeats the soak runs that regressions.txt lists. Exits with 1
# if any of them violated a guarantee.
set -uo pipefail
cd "$(dirname "$0")/.."

code=0
while read -r -a listed; do
    python3 soak/soak.py "${listed[@]}" "$@" || code=1
done < <(grep -v '^#' soak/regressions.txt)
exit "$code"

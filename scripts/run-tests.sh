#!/usr/bin/env bash
# run-tests.sh BUILD_FOLDER: runs all tests with CTest, except those that KNOWN-RED.txt lists by a
# line "test: NAME". Prints that file. Any failure fails the run.
set -uo pipefail
cd "$(dirname "$0")/.."

folder=$1
known=()
if [ -f KNOWN-RED.txt ]; then
    mapfile -t known < <(sed -n 's/^test: //p' KNOWN-RED.txt)
fi
pattern=$(IFS='|'; echo "${known[*]:-}")
exclude_known=()
if [ -n "$pattern" ]; then
    exclude_known=(-E "^($pattern)\$")
fi
ctest --test-dir "$folder" --output-on-failure -j 4 "${exclude_known[@]}" || exit 1
echo "Known to fail, passed over (KNOWN-RED.txt):"
cat KNOWN-RED.txt

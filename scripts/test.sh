#!/usr/bin/env bash
# Installs what is needed, builds, checks the formatting, lints and runs every test. Exits non-zero
# on any failure that KNOWN-RED.txt does not name.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/packages.sh
scripts/build.sh build
scripts/format.sh --check
scripts/lint.sh build
scripts/run-tests.sh build

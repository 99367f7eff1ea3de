#!/usr/bin/env bash
# Installs what is needed, builds, checks the formatting, lints, fuzzes the decoders and runs every
# test. Exits non-zero on any failure that KNOWN-RED.txt does not name.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/packages.sh
scripts/build.sh build
scripts/format.sh --check
scripts/lint.sh build
scripts/fuzz.sh
scripts/run-tests.sh build

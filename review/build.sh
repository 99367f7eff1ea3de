#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are Python programs, so there is nothing to compile.
set -euo pipefail
python3 -c 'import sys; sys.exit(sys.version_info < (3, 8))'

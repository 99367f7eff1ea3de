#!/usr/bin/env bash
# Builds what the cases 11 to 15 start beside the programs of the deploy file. Their stand-ins are
# Python scripts in review/lib3, so there is nothing to compile; this only checks that they load.
set -euo pipefail
cd "$(dirname "$0")/lib3"
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import standin, system, traffic'

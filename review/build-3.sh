#!/usr/bin/env bash
# Checks the stand-ins of the scripts in review/11 to review/15. They are Python and need no build; the instances
# are built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B -c 'import sys; sys.path.insert(0, "stand_ins_3"); import harness'

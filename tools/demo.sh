#!/usr/bin/env bash
# Runs the whole system on loopback for less than a minute and checks that no order was lost or doubled.
set -euo pipefail
cd "$(dirname "$0")/.."
exec timeout 60 python3 tools/demo.py "$@"

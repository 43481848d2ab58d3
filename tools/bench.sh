#!/usr/bin/env bash
# Runs one measurement: tools/bench.sh NAME [ARGUMENTS]. The program is NAME_bench.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${CATKINTALLY_BUILD_DIR:-build}
name=${1:?usage: bench.sh NAME [ARGUMENTS]}
shift
if [ "$name" = faults ]; then
    exec python3 tools/bench_faults.py "$@"
fi
program="$build_dir/bin/${name}_bench"
if [ ! -x "$program" ]; then
    echo "bench: no measurement named '$name'" >&2
    exit 2
fi
exec "$program" "$@"

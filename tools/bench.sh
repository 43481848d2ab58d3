#!/usr/bin/env bash
# Runs one measurement: tools/bench.sh NAME [ARGUMENTS]. It is a program NAME_bench or a
# script tools/bench_NAME.py that starts whole fleets.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${CATKINTALLY_BUILD_DIR:-build}
name=${1:?usage: bench.sh NAME [ARGUMENTS]}
shift
if [ -f "tools/bench_$name.py" ]; then
    exec python3 "tools/bench_$name.py" "$@"
fi
program="$build_dir/bin/${name}_bench"
if [ ! -x "$program" ]; then
    echo "bench: no measurement named '$name'" >&2
    exit 2
fi
exec "$program" "$@"

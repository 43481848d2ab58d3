#!/usr/bin/env bash
# Runs clang-tidy on every source of the build. A source whose preprocessed text passed before with
# the same configuration is skipped; the cache holds only the hashes of passed sources.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=$1
jobs=$2
cache="$build_dir/tidy-passed"
mkdir -p "$cache"
export build_dir cache

check_one()
{
    local source=$1 key
    key=$({ cat .clang-tidy; python3 tools/preprocess.py "$build_dir" "$source"; } | sha256sum | cut -d' ' -f1)
    [ -f "$cache/$key" ] && return 0
    if clang-tidy -p "$build_dir" --quiet "$source" 2>/dev/null; then
        touch "$cache/$key"
    else
        echo "clang-tidy: findings in $source" >&2
        return 1
    fi
}
export -f check_one

git ls-files --cached --others --exclude-standard -- 'packages/*.cpp' 'platform/*.cpp' | grep -v generated |
    xargs -P "$jobs" -I{} bash -c 'check_one {}'

#!/usr/bin/env bash
# Fails if the committed generated code differs from what the schemas generate.
set -euo pipefail
cd "$(dirname "$0")/.."
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
tools/generate.sh "$out"
(cd "$out" && find . -type f) | while read -r file; do
    diff -q "$file" "$out/$file" >/dev/null ||
        { echo "generated file $file is out of date: run ./run generate" >&2; exit 1; }
done

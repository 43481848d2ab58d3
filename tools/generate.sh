#!/usr/bin/env bash
# Generates the committed code from the schemas. The first argument is the output root (default: the tree).
set -euo pipefail
cd "$(dirname "$0")/.."
root=${1:-.}
wire="$root/packages/wire/include/catkintally/wire/generated"
mkdir -p "$wire"
flatc --cpp --gen-object-api --object-suffix _data --scoped-enums --cpp-std c++17 \
    --cpp-ptr-type std::unique_ptr --filename-suffix .generated --filename-ext hpp \
    -o "$wire" packages/wire/schema/messages.fbs
if [ -f tools/generate_settings.py ]; then
    python3 tools/generate_settings.py "$root"
fi

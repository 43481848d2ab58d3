#!/usr/bin/env bash
# Fails if docs/events.md and the numbered events in the code do not list the same numbers and names.
set -euo pipefail
cd "$(dirname "$0")/.."
table=packages/runtime/include/catkintally/runtime/log/event_table.inc
[ -f "$table" ] || exit 0
code=$(grep -oE '^CATKINTALLY_EVENT\([0-9]+, *[a-z_]+' "$table" | sed -E 's/.*\(([0-9]+), */\1 /' | sort)
docs=$(grep -oE '^\| *[0-9]+ *\| *`?[a-z_]+' docs/events.md | sed -E 's/[|` ]+/ /g; s/^ //' | sort)
if [ "$code" != "$docs" ]; then
    echo "docs/events.md does not match $table:" >&2
    diff <(echo "$code") <(echo "$docs") >&2
    exit 1
fi

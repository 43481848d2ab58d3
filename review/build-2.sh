#!/usr/bin/env bash
# The scripts of the second review start only the programs of the deploy file's build. Their
# stand-ins are Python and need no build; this checks that the interpreter can run them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' ||
    { echo "the stand-ins need Python 3.11 or later" >&2; exit 1; }
for file in stand_ins_2/*.py [0-9]*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done

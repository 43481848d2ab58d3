#!/usr/bin/env bash
# Checks the stand-ins of the cases. They are Python programs that need nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 is needed"'
for file in stand_ins/*.py [1-5]/case.py; do
    [ ! -f "$file" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done

#!/bin/sh
# The scripts of cases 4 to 7 and their stand-ins need the standard library of Python alone.
# This checks that all of them can be compiled; it leaves nothing behind.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.py [4-7]/*.py; do
    [ -f "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done

#!/bin/sh
# Builds the stand-ins of the cases: they are Python and use the standard library alone,
# so it is enough that they compile and that the programs' libraries are built.
cd "$(dirname "$0")/.." || exit 2
[ -d target/deps ] || { echo "run the build line of deploy/system.toml first" >&2; exit 2; }
for file in review/lib/*.py review/*/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 2
done

#!/bin/sh
# Builds the stand-ins that the scripts of review/4 to review/8 and review/seen-2 start. They are Python 3.11
# without dependencies, so this checks that they can be read.
set -e
cd "$(dirname "$0")"
for file in [4-8]/*.py seen-2/*.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done

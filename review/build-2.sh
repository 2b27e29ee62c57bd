#!/bin/sh
# The stand-ins of the cases 6 to 10 are Python programs without dependencies. This checks that they compile.
set -e
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing"; exit 1; }
for each in common2/*.py [6-9]/case.py 10/case.py; do
    [ -f "$each" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$each"
done
echo "nothing to build: the stand-ins are Python"

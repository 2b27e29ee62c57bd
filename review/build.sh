#!/bin/bash
# The stand-ins are Python programs and need no build. Checks that they can be compiled.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPYCACHEPREFIX="${TMPDIR:-/tmp}/crocusmount-review-pycache"
for file in review/common/*.py review/[1-5]/*.py tests/soak/standins.py tests/soak/httpio.py; do
    [ -e "$file" ] || continue
    python3 -m py_compile "$file" || exit 2
done

#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 and later start: compiles them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
for case in 6 7 8 9 10; do
    [ ! -e "$case/case.py" ] || python3 -m py_compile "$case/case.py"
done
python3 -m py_compile lib2/*.py

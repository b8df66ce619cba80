#!/usr/bin/env bash
# Builds what the scripts of the cases start besides the build of the deploy file: the
# stand-ins under lib/, plain Python of the standard library, so there is only a check.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - lib/*.py [0-9]/case.py <<'P'
import ast, sys
for name in sys.argv[1:]:
    ast.parse(open(name).read(), name)
P

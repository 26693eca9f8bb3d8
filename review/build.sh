#!/usr/bin/env bash
# Checks the stand-ins of the cases. They are one Python module (3.11 or newer, standard library only), so there is
# nothing to compile; the project's programs come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins.py ./*/case.py <<'PY'
import ast
import sys
import tomllib  # Python 3.11

for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as source:
        ast.parse(source.read(), name)
PY

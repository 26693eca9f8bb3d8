#!/usr/bin/env bash
# Prepares the stand-ins that the scripts of review/11 to review/15 start. They are plain Python of the standard
# library (3.11 or newer), so there is nothing to compile; this checks that they can be loaded. The project's programs
# come from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import glob
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for path in ["standins_3.py", *sorted(glob.glob("1[1-5]/case.py"))]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
CHECK

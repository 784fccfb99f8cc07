#!/usr/bin/env bash
# The stand-ins of the cases are Python programs, which need no build. Checks
# that this machine can run them: Python 3.11 or later, no further package.
set -eu
cd "$(dirname "$0")"
python3 - <<'CHECK'
import sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
import pathlib
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(path.read_text(), str(path), "exec")
CHECK

#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are Python programs that only need the standard library: they are
# compiled, so that a Python that cannot run them shows here.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import glob, sys
assert sys.version_info >= (3, 8), "the stand-ins need Python 3.8 or newer"
for path in sorted(glob.glob("standins/*.py") + glob.glob("*/test.py")):
    compile(open(path).read(), path, "exec")
    print("compiled", path)
CHECK

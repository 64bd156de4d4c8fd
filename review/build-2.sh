#!/bin/sh
# Builds what the scripts of review/6 to review/10 start, beside the program, which the deploy file's `build` makes. All
# stand-ins of this review are Python files in review/standins-2: this checks that the interpreter is there and that it
# can read them.
set -eu
cd "$(dirname "$0")"
test -x ../target/release/sailmux || { echo "run the build of the deploy file first" >&2; exit 2; }
python3 - <<'CHECK'
import glob, sys
assert sys.version_info >= (3, 8), "Python 3.8 or later is needed"
for path in glob.glob("standins-2/*.py") + glob.glob("[0-9]*/case.py"):
    with open(path) as source:
        compile(source.read(), path, "exec")
CHECK
echo "the stand-ins of review/standins-2 can be started"

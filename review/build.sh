#!/bin/sh
# The stand-ins are Python scripts that use the standard library alone: nothing is compiled. This checks that they can
# be run, so that a missing interpreter shows here and not in a case.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys, tomllib; assert sys.version_info >= (3, 11)'
python3 -m py_compile standins/*.py */test.py
rm -rf standins/__pycache__ */__pycache__
echo "the stand-ins are ready"

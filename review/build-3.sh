#!/bin/sh
# Prepares the stand-ins of the cases 11 to 15. They are Python files that use only the
# standard library, so it is enough that they compile.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
cp review/standins-3/*.py target/review-3/
python3 -m compileall -q target/review-3

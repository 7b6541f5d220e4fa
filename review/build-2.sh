#!/bin/sh
# The stand-ins of the second review's scripts are review/standins_2.py and the files in
# review/4 to review/6: Python's standard library only, so nothing has to be built. This
# checks that they compile, and that the build line of deploy/system.toml was run.
set -e
cd "$(dirname "$0")/.."
test -d target/deps
for file in review/standins_2.py review/[4-6]/*.py; do
    test ! -f "$file" || python3 -c "compile(open('$file').read(), '$file', 'exec')"
done

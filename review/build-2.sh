#!/usr/bin/env bash
# Prepares the stand-ins of cases 4 to 7. They are scripts for python3, which need only its standard
# library, so there is nothing to compile; this checks that they can be run.
set -euo pipefail
cd "$(dirname "$0")"
for file in rig_2.py [4-7]/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done

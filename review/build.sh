#!/usr/bin/env bash
# The stand-ins of the scripts are Python (review/lib/standin.py) and need no build; this checks that they can run.
set -euo pipefail
cd "$(dirname "$0")"
for Case in [1-5]; do
  python3 -c 'import ast, sys; [ast.parse(open(path, encoding="utf-8").read()) for path in sys.argv[1:]]' \
    lib/standin.py "$Case/play.py"
done
[ -x ../target/crocuslead ] || { echo "target/crocuslead is missing: run the build of the deploy file first" >&2; exit 1; }

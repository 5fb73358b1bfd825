#!/usr/bin/env bash
# Builds what the scripts of the second review (cases 6 to 10) start beside the program itself, which the deploy file's
# build makes: their stand-ins are Python 3 without further packages, so they are only read once for errors.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import ast, glob, sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is wanted")
for path in sorted(glob.glob("lib-2/*.py") + [p for n in range(6, 11) for p in glob.glob(f"{n}/*.py")]):
    with open(path, encoding="utf-8") as f:
        ast.parse(f.read(), path)
PY

#!/usr/bin/env bash
# The stand-ins of the review cases are Python 3 of the standard library: there is nothing to fetch. This checks that the
# interpreter is there and that they compile.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONPYCACHEPREFIX="$(mktemp -d)"
trap 'rm -rf "$PYTHONPYCACHEPREFIX"' EXIT
python3 -c 'import sys; assert sys.version_info >= (3, 8), sys.version'
python3 -m py_compile lib/rig.py [0-9]/case.py

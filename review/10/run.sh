#!/usr/bin/env bash
# Plays this case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" && exec env PYTHONDONTWRITEBYTECODE=1 python3 case.py

#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
# The shared code needs Python 3.11; an import that fails must not look like a broken rule.
PYTHONPATH=../lib python3 -B -c "import rig" || exit 2
exec python3 -B case.py

#!/usr/bin/env bash
# Many users come at once to an endpoint with 1000 slots; see claim.txt. TROUBLE=0: they do not come.
cd "$(dirname "$0")" || exit 2
exec python3 case.py

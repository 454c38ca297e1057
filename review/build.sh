#!/usr/bin/env bash
# Prepares the stand-ins of the scripts. They are Python programs on the standard library alone, so building them
# means to check that each compiles; nothing is installed.
cd "$(dirname "$0")" || exit 2
python3 - <<'CHECK' || exit 2
import glob, sys
if sys.version_info < (3, 11):
    sys.exit("python3 3.11 or later is needed (tomllib)")
for path in ["lib/deployment.py"] + sorted(glob.glob("[0-9]*/case.py")):
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
print("stand-ins compile")
CHECK

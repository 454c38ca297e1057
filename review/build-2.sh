#!/usr/bin/env bash
# Prepares the stand-ins of cases 6 to 10. They are Python programs on the standard library alone, so building them
# means to check that each compiles; nothing is installed.
cd "$(dirname "$0")" || exit 2
python3 - <<'CHECK' || exit 2
import glob, sys
if sys.version_info < (3, 11):
    sys.exit("python3 3.11 or later is needed (tomllib)")
for path in glob.glob("lib-2/*.py") + [f"{n}/case.py" for n in range(6, 11)]:
    try:
        with open(path, encoding="utf-8") as file:
            compile(file.read(), path, "exec")
    except FileNotFoundError:
        pass  # a case that is a day only
print("stand-ins compile")
CHECK

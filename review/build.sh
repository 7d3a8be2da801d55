#!/bin/sh
# The stand-ins are Python programs without dependencies: checks that they compile.
cd "$(dirname "$0")" || exit 1
python3 -B - standins/*.py soak/*.py [1-5]/*.py <<'END'
import pathlib
import sys

assert sys.version_info >= (3, 11), "Python 3.11 is needed"
for name in sys.argv[1:]:
    if "*" not in name:
        compile(pathlib.Path(name).read_text("utf-8"), name, "exec")
END

#!/bin/sh
# The stand-ins of the cases use the standard library only; this checks that they load.
cd "$(dirname "$0")" && python3 -m py_compile stand-ins-2/world.py

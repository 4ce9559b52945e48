#!/bin/sh
# The stand-ins are plain Python without dependencies: "building" them is compiling them once.
set -eu
cd "$(dirname "$0")"
find . -name "*.py" -exec python3 -m py_compile {} +

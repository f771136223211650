#!/usr/bin/env bash
# Builds the stand-ins of the scripts: compiles them, which also checks their syntax.
# They need nothing but Python's standard library.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins [1-9]*/

#!/bin/bash
# Runs ctest in the given build directory. Lines of KNOWN-RED.txt of the form
# "test: NAME" exclude that ctest test; they are printed.
set -euo pipefail
cd "$(dirname "$0")/.."
directory="${1:-build}"
shift || true
exclude=""
if [ -f KNOWN-RED.txt ]; then
  exclude="$(sed -n 's/^test: *//p' KNOWN-RED.txt | paste -sd'|')"
fi
if [ -n "$exclude" ]; then
  echo "Known failing tests, not run (see KNOWN-RED.txt): $exclude"
  set -- "$@" -E "^($exclude)\$"
fi
ctest --test-dir "$directory" --output-on-failure --no-tests=error "$@"

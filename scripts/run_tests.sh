#!/bin/bash
# Runs ctest in the given build directory. KNOWN-RED.txt excludes what its
# lines name, which is printed: "test: NAME" a ctest test, "case: SUITE.NAME" a
# single GoogleTest case.
set -euo pipefail
cd "$(dirname "$0")/.."
directory="${1:-build}"
shift || true
exclude=""
cases=""
if [ -f KNOWN-RED.txt ]; then
  sed -n 's/^play: */Known failing play, no part of the tests: /p' KNOWN-RED.txt
  exclude="$(sed -n 's/^test: *//p' KNOWN-RED.txt | paste -sd'|')"
  cases="$(sed -n 's/^case: *//p' KNOWN-RED.txt | paste -sd:)"
fi
if [ -n "$exclude" ]; then
  echo "Known failing tests, not run (see KNOWN-RED.txt): $exclude"
  set -- "$@" -E "^($exclude)\$"
fi
if [ -n "$cases" ]; then
  echo "Known failing cases, not run (see KNOWN-RED.txt): $cases"
  export GTEST_FILTER="-$cases"
fi
ctest --test-dir "$directory" --output-on-failure --no-tests=error "$@"

#!/bin/bash
# Builds into build/ (or the directory given as the first argument; further
# arguments go to cmake).
set -euo pipefail
cd "$(dirname "$0")/.."
directory="${1:-build}"
shift || true
cmake -S . -B "$directory" -G Ninja "$@" >/dev/null
cmake --build "$directory"

#!/bin/bash
# Builds into build/ (or the directory given as the first argument; further
# arguments go to cmake).
set -euo pipefail
cd "$(dirname "$0")/.."
directory="${1:-build}"
shift || true
# Lets checkouts in other places share what ccache keeps.
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
cmake -S . -B "$directory" -G Ninja "$@" >/dev/null
cmake --build "$directory"

#!/bin/bash
# Builds the stand-ins that the scripts start, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standins -B target/review -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target/review -j8

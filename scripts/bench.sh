#!/bin/bash
# Measures on a running demo stack what a daemon adds to the latency of a plain
# call, and the memory, processor time and traffic of the idle daemons. Prints
# JSON lines and keeps them in build/bench/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/bench
result=build/bench/latency.json
rm -f build/bench/demo.json
scripts/demo.sh --serve >build/bench/demo.json &
demo=$!
trap 'kill -TERM "$demo" 2>/dev/null || true; wait "$demo" 2>/dev/null || true' EXIT
for ((tries = 0; tries < 6000; tries++)); do
  [ -s build/bench/demo.json ] && break
  kill -0 "$demo" 2>/dev/null || { echo "the demo did not start" >&2; exit 1; }
  sleep 0.1
done
entry="$(jq -r '.entries[0]' build/bench/demo.json)"
token="$(jq -r .token build/bench/demo.json)"
direct="$(jq -r .probeService build/bench/demo.json)"
build/bin/latency_probe --direct "$direct" --daemon "$entry" --token "$token" \
  --service lookup --calls "${BENCH_CALLS:-5000}" | tee "$result"
curl -sS "http://$entry/metrics" >build/bench/metrics.txt

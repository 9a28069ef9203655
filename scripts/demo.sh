#!/bin/bash
# Installs, builds and starts three daemons in three availability zones with
# stand-ins of the platform, two model engines and two plain services; files a
# ticket; sends a streamed completion, a plain call and a repeated
# non-idempotent call; prints the answers and stops everything.
#
#   scripts/demo.sh           runs once and exits 0
#   scripts/demo.sh --serve   stays up, prints the entry addresses and a caller
#                             token as one line of JSON, stops on SIGINT
set -euo pipefail
cd "$(dirname "$0")/.."

serve=false
if [ "${1:-}" = "--serve" ]; then
  serve=true
elif [ $# -gt 0 ]; then
  echo "usage: scripts/demo.sh [--serve]" >&2
  exit 2
fi

log() { if $serve; then echo "$*" >&2; else echo "$*"; fi; }

scripts/install-deps.sh >&2
scripts/build.sh build >&2
bin="$PWD/build/bin"
work="$(mktemp -d)"
daemons=()
standins=()

# The daemons go first, so that their drain finds the stand-ins running.
stop_all() {
  trap '' INT TERM
  kill "${daemons[@]}" 2>/dev/null || true
  wait "${daemons[@]}" 2>/dev/null || true
  kill "${standins[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap stop_all EXIT
trap 'exit 0' INT TERM

# start NAME COMMAND...: runs a program in the background.
start() {
  local name="$1"
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.log" &
  if [[ "$name" == entry-* ]]; then
    daemons+=($!)
  else
    standins+=($!)
  fi
}

# first_line NAME: waits for the first line that a program prints.
first_line() {
  local tries
  for ((tries = 0; tries < 100; tries++)); do
    if [ -s "$work/$1.out" ]; then
      head -n 1 "$work/$1.out"
      return
    fi
    sleep 0.1
  done
  echo "$1 did not start" >&2
  return 1
}

# free_port: a port on which nothing listens at the moment.
free_port() {
  local port
  while true; do
    port="$(shuf -i 20000-29999 -n 1)"
    if ! grep -qi ":$(printf '%04X' "$port") " /proc/net/tcp /proc/net/udp; then
      echo "$port"
      return
    fi
  done
}

start platform "$bin/platform_standin"
start engine-0 "$bin/engine_standin" --token-us 20000
start engine-1 "$bin/engine_standin" --token-us 20000
start plain-0 "$bin/plain_standin"
start plain-1 "$bin/plain_standin"
api="$(first_line platform | cut -d' ' -f2)"
objects="http://$api/apis/boragewharf.dev/v1/namespaces/default"

# add_instance NAME SPEC: lists an instance.
add_instance() {
  curl -sSf -o /dev/null -H 'Content-Type: application/json' "$objects/instances" -d "$(
    jq -n --arg name "$1" --argjson spec "$2" \
      '{apiVersion: "boragewharf.dev/v1", kind: "instances", metadata: {name: $name}, spec: $spec}'
  )"
}

# backend_spec SERVICE PORT ZONE
backend_spec() {
  jq -n --arg service "$1" --arg address "127.0.0.1:$2" --arg zone "$3" \
    '{role: "backend", service: $service, address: $address, zone: $zone, region: "region-1",
      machineClass: "small", pricePerHour: 0.1, reclaimable: true, leaving: false, checksFencing: true}'
}

add_instance engine-0 "$(backend_spec llm "$(first_line engine-0 | cut -d' ' -f2)" zone-a)"
add_instance engine-1 "$(backend_spec llm "$(first_line engine-1 | cut -d' ' -f2)" zone-b)"
add_instance plain-0 "$(backend_spec desk "$(first_line plain-0 | cut -d' ' -f2)" zone-c)"
add_instance plain-1 "$(backend_spec lookup "$(first_line plain-1 | cut -d' ' -f2)" zone-a)"

operator_output="$("$bin/boragewharfctl" operator-key new)"
sed -n 2p <<<"$operator_output" | tr -d ' ' >"$work/operator.key"
operator_hash="$(sed -n 4p <<<"$operator_output")"
token_output="$("$bin/boragewharfctl" token new demo)"
token="$(sed -n 2p <<<"$token_output" | tr -d ' ')"
token_hash="$(sed -n 4p <<<"$token_output")"
peer_secret="$(openssl rand -hex 32)"

entries=()
zones=(zone-a zone-b zone-c)
for index in 0 1 2; do
  caller="127.0.0.1:$(free_port)"
  peer="127.0.0.1:$(free_port)"
  entries+=("$caller")
  jq -n --arg instance "entry-$index" --arg zone "${zones[$index]}" --arg caller "$caller" \
    --arg peer "$peer" --arg api "$api" --arg secret "$peer_secret" --argjson key "$operator_hash" \
    '{instance: $instance, zone: $zone, region: "region-1", callerAddress: $caller, peerAddress: $peer,
      platform: {objectApi: $api, cloudApi: $api}, peerKeys: [{id: 1, secret: $secret}],
      operatorKey: $key}' >"$work/entry-$index.json"
  add_instance "entry-$index" "$(
    jq -n --arg zone "${zones[$index]}" --arg caller "$caller" --arg peer "$peer" \
      '{role: "entry", service: "", address: $caller, zone: $zone, region: "region-1", machineClass: "small",
        pricePerHour: 0.1, reclaimable: true, leaving: false, checksFencing: false,
        callerAddress: $caller, peerAddress: $peer}'
  )"
  start "entry-$index" "$bin/boragewharf" --config "$work/entry-$index.json"
done

ctl() { "$bin/boragewharfctl" --address "${entries[0]}" --key-file "$work/operator.key" "$@"; }

# Waits until every daemon knows the others and may serve.
wait_for_members() {
  local tries
  for ((tries = 0; tries < 200; tries++)); do
    if ctl --json status 2>/dev/null |
      jq -e '.servingLease and ([.members[] | select(.status == "alive")] | length == 3)
             and (.backendServers | length == 4)' >/dev/null; then
      return
    fi
    sleep 0.1
  done
  echo "the daemons did not find each other" >&2
  tail -n 5 "$work"/entry-*.log >&2
  return 1
}
wait_for_members

jq -n --argjson hash "$token_hash" '{ticket: 1, base: 0, set: [
  {kind: "customer", name: "demo", tokens: [$hash]},
  {kind: "service", name: "llm", type: "model"},
  {kind: "service", name: "desk", type: "plain", requireIdempotencyKey: true},
  {kind: "service", name: "lookup", type: "plain"},
  {kind: "model", name: "small", service: "llm", version: "1", replicas: 2}]}' >"$work/ticket.json"
log "== ticket"
log "$(ctl ticket apply "$work/ticket.json")"

if $serve; then
  jq -cn --arg token "$token" --arg probe "127.0.0.1:$(first_line plain-1 | cut -d' ' -f2)" \
    '{entries: $ARGS.positional, token: $token, probeService: $probe}' --args "${entries[@]}"
  # Sleeps in short steps: bash runs a trap only between commands.
  while true; do sleep 1; done
fi

# call ENTRY METHOD PATH BODY [HEADER...]: one call of the demo customer.
call() {
  local entry="${entries[$1]}" method="$2" path="$3" body="$4"
  shift 4
  local headers=()
  for header in "$@"; do headers+=(-H "$header"); done
  curl -sS --max-time 20 -X "$method" "http://$entry$path" -H "Authorization: Bearer $token" \
    -H 'Content-Type: application/json' "${headers[@]}" -d "$body"
}

echo "== streamed completion through ${entries[0]}"
call 0 POST /v1/completions '{"model":"small","prompt":"hello world","max_tokens":5,"stream":true}' |
  tee "$work/stream.txt"
grep -q '^data: \[DONE\]' "$work/stream.txt"

echo "== plain call through ${entries[1]}"
first="$(call 1 POST /services/desk/bookings '{"seats":2}' 'Idempotency-Key: demo-1')"
echo "$first"

echo "== the same non-idempotent call again through ${entries[2]}"
second="$(call 2 POST /services/desk/bookings '{"seats":2}' 'Idempotency-Key: demo-1')"
echo "$second"
[ "$first" = "$second" ]

runs="$(curl -sS "http://127.0.0.1:$(first_line plain-0 | cut -d' ' -f2)/runs" | jq -r '.by_key["demo-1"]')"
echo "== the service ran it $runs time(s)"
[ "$runs" = 1 ]

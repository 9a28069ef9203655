#!/bin/bash
# Checks the Spin models exhaustively, then each with one guard removed, for
# which a violation must be found. Prints the number of states searched.
set -euo pipefail
cd "$(dirname "$0")/.."
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT

# Runs one model in a directory of its own; prints "ERRORS STATES".
search() {
  local model="$1" name="$2"
  shift 2
  local directory="$work/$name"
  mkdir -p "$directory"
  (
    cd "$directory"
    spin "$@" -a "$OLDPWD/models/$model.pml" >spin.log 2>&1 || { cat spin.log >&2; exit 1; }
    gcc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM=4096 -o pan pan.c
    ./pan -m200000 -E >pan.log 2>&1 || true
    if grep -q 'max search depth too small\|out of memory\|memory limit\|Search not completed' pan.log &&
      ! grep -q 'assertion violated' pan.log; then
      echo "incomplete 0"
      return
    fi
    errors="$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log)"
    states="$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' pan.log)"
    echo "${errors:-failed} ${states:-0}"
  )
}

failed=0
passed=0
check() {
  local expected="$1" model="$2" guard="${3:-}"
  local name="$model${guard:+-$guard}" errors states
  read -r errors states < <(search "$model" "$name" ${guard:+-D$guard})
  local verdict=ok
  if [ "$expected" = holds ] && [ "$errors" != 0 ]; then verdict=FAILED; fi
  if [ "$expected" = violated ] && { [ "$errors" = 0 ] || ! [[ "$errors" =~ ^[0-9]+$ ]]; }; then verdict=FAILED; fi
  printf '%-8s %-45s expected %-8s errors %-6s states %s\n' "$verdict" "$name" "$expected" "$errors" "$states"
  if [ "$verdict" = ok ]; then passed=$((passed + 1)); else failed=$((failed + 1)); fi
}

for model in models/*.pml; do
  name="$(basename "$model" .pml)"
  check holds "$name"
  for guard in $(grep -o 'NO_[A-Z][A-Z_]*' "$model" | sort -u); do
    check violated "$name" "$guard"
  done
done
echo "models: $passed passed, $failed failed"
[ "$failed" -eq 0 ]

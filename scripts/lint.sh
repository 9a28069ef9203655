#!/bin/bash
# Checks formatting and runs clang-tidy. With arguments, only on these files.
# Needs a configured build directory for compile_commands.json. A source that
# passed is not checked again while clang-tidy, the checks, its compile command
# and all files that it includes are the same; LINT_CACHE is where that is kept
# (empty: nowhere).
set -euo pipefail
cd "$(dirname "$0")/.."
export LINT_CACHE="${LINT_CACHE-${XDG_CACHE_HOME:-${HOME:-/tmp}/.cache}/boragewharf-lint}"
if [ $# -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cc' '*.h')
fi
clang-format --dry-run -Werror "${files[@]}"
sources=()
for file in "${files[@]}"; do
  [[ "$file" == *.cc ]] && sources+=("$file")
done
[ ${#sources[@]} -eq 0 ] && exit 0

LINT_BASE="$(clang-tidy --version; cat .clang-tidy)"
LINT_TALLY="$(mktemp)"
export LINT_BASE LINT_TALLY
trap 'rm -f "$LINT_TALLY"' EXIT
[ -z "$LINT_CACHE" ] || mkdir -p "$LINT_CACHE"

# key_of SOURCE: digest of all that the verdict on it depends on. Fails if that
# is not known.
key_of() {
  local root="$PWD" command includes digests
  command="$(jq -er --arg file "$root/$1" \
    'map(select(.file == $file)) | first | .command' build/compile_commands.json)" || return
  # Neither the launcher nor the place of the output matters.
  command="$(sed -E 's/^[^ ]*ccache //; s/ -o [^ ]+//; s/ -c [^ ]+$//' <<<"$command")"
  includes="$(cd build && eval "$command -M '$root/$1'")" || return
  includes="$(tr -d '\\\n' <<<"${includes#*:}")"
  # shellcheck disable=SC2086
  digests="$(sha256sum $includes)" || return
  printf '%s\n' "$LINT_BASE" "${command//$root/}" "${digests//$root/}" | sha256sum | cut -d' ' -f1
}

lint() {
  local key=""
  if [ -n "$LINT_CACHE" ]; then
    key="$(key_of "$1")" || key=""
  fi
  if [ -n "$key" ] && [ -e "$LINT_CACHE/$key" ]; then
    echo unchanged >>"$LINT_TALLY"
    return
  fi
  echo checked >>"$LINT_TALLY"
  clang-tidy --quiet -p build "$1"
  [ -z "$key" ] || touch "$LINT_CACHE/$key"
}
export -f key_of lint

# The largest first, so that no long check is left for the end.
ls -S "${sources[@]}" |
  xargs -P "$(nproc)" -I{} bash -c 'set -euo pipefail; lint "$1"' lint {} \
    2> >(grep -v 'warnings generated\|Suppressed\|Use -header-filter' >&2)
echo "linter: $(sort "$LINT_TALLY" | uniq -c | tr '\n' ' ')"

#!/bin/bash
# Checks formatting and runs clang-tidy. With arguments, only on these files.
# Needs a configured build directory for compile_commands.json.
set -euo pipefail
cd "$(dirname "$0")/.."
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
printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p build 2> >(grep -v 'warnings generated\|Suppressed\|Use -header-filter' >&2)

#!/usr/bin/env bash
# Checks the format of every source file; with --fix, rewrites them.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files -co --exclude-standard -- '*.h' '*.cc' | grep -vE '\.pb\.(h|cc)$')
if [ "${1:-}" = --fix ]; then
    clang-format -i "${files[@]}"
else
    clang-format --dry-run --Werror "${files[@]}"
fi

#!/usr/bin/env bash
# Runs clang-tidy over every source file of a configured build: lint.sh [BUILD_DIRECTORY [FILE...]].
# The build is g++'s: clang does not know all of its warnings, and Boost.LEAF's checks are statement expressions.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
shift || true
if [ $# -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files -co --exclude-standard -- 'src/*.cc' 'lab/*.cc' 'platform/*.cc' 'test/*.cc' 'bench/*.cc' | grep -vE '\.pb\.cc$')
fi
printf '%s\0' "${files[@]}" | xargs -0 -n 1 -P "$(nproc)" clang-tidy -p "$build" --quiet \
    --extra-arg=-Wno-unknown-warning-option --extra-arg=-Wno-gnu-statement-expression 2> /dev/null

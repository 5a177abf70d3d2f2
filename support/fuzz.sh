#!/usr/bin/env bash
# Builds the fuzz targets with clang, replays the inputs of fuzz/corpus/TARGET and then runs each target with a fixed
# seed and a fixed number of inputs, which start from those: fuzz.sh [RUNS [TARGET...]]. Neither has a time limit.
set -euo pipefail
cd "$(dirname "$0")/.."
runs=${1:-20000}
shift || true
source support/fuzz-build.sh "$@"
for target in "${targets[@]}"; do
    log=build-fuzz/$target.log
    inputs=("fuzz/corpus/$target"/*)
    if ! "build-fuzz/$target" "${inputs[@]}" > "$log" 2>&1; then
        tail -n 40 "$log"
        echo "fuzz $target: failed at $(sed -n 's/^Running: //p' "$log" | tail -n 1)"
        exit 1
    fi
    # New inputs of the random runs go to a folder that is not kept.
    rm -rf "build-fuzz/$target-finds" "build-fuzz/$target-new"
    mkdir "build-fuzz/$target-finds" "build-fuzz/$target-new"
    if ! "build-fuzz/$target" -seed=1 -runs="$runs" -max_len=2048 -artifact_prefix="build-fuzz/$target-finds/" \
        "build-fuzz/$target-new" "fuzz/corpus/$target" > "$log" 2>&1; then
        tail -n 40 "$log"
        print_finds "$target"
        exit 1
    fi
    echo "fuzz $target: ${#inputs[@]} inputs replayed, $(grep -oE 'Done [0-9]+ runs' "$log")"
done

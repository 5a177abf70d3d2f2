#!/usr/bin/env bash
# Builds the fuzz targets with clang, replays the inputs of fuzz/corpus/TARGET and runs each target with a fixed seed:
# fuzz.sh [RUNS [TARGET...]].
set -euo pipefail
cd "$(dirname "$0")/.."
runs=${1:-20000}
shift || true
build() {
    cmake -S . -B build-fuzz -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DORIOLELEVER_FUZZ=ON
    cmake --build build-fuzz --target fuzz
}
mkdir -p build-fuzz
build > build-fuzz/build.log 2>&1 || { cut -c 1-400 build-fuzz/build.log | tail -n 40; exit 1; }
targets=("$@")
if [ ${#targets[@]} -eq 0 ]; then
    for source in fuzz/*-fuzz.cc; do
        targets+=("$(basename "$source" .cc)")
    done
fi
for target in "${targets[@]}"; do
    log=build-fuzz/$target.log
    if [ -d "fuzz/corpus/$target" ] && ! "build-fuzz/$target" "fuzz/corpus/$target"/* > "$log" 2>&1; then
        tail -n 40 "$log"
        echo "fuzz $target: failed at an input of fuzz/corpus/$target"
        exit 1
    fi
    if ! "build-fuzz/$target" -seed=1 -runs="$runs" -max_len=2048 -max_total_time=5 \
        -artifact_prefix="build-fuzz/$target-" > "$log" 2>&1; then
        tail -n 40 "$log"
        echo "fuzz $target: failed"
        exit 1
    fi
    echo "fuzz $target: $(grep -oE 'Done [0-9]+ runs' "$log" || echo 'time limit reached')"
done

#!/usr/bin/env bash
# Searches for long, started by hand: fuzz-search.sh [RUNS [TARGET...]], RUNS inputs a target by JOBS processes with the
# seeds from SEED on, of MAX_LEN bytes at most. Then reduces what reaches new code to the files of fuzz/corpus/TARGET that are
# named by a hash; files with other names are kept as they are. A find becomes such a file, and a test of its own.
set -euo pipefail
cd "$(dirname "$0")/.."
runs=${1:-10000000}
shift || true
jobs=${JOBS:-4}
seed=${SEED:-1}
max_len=${MAX_LEN:-2048}
most_files=199
source support/fuzz-build.sh "$@"

# Fails if a process did.
search() {
    local target=$1 status=0 job pids=()
    for ((job = 0; job < jobs; ++job)); do
        "build-fuzz/$target" -seed=$((seed + job)) -runs=$((runs / jobs)) -max_len="$max_len" -print_final_stats=1 \
            -artifact_prefix="build-fuzz/$target-finds/" "build-fuzz/$target-new" "fuzz/corpus/$target" \
            > "build-fuzz/$target-$job.log" 2>&1 &
        pids+=($!)
    done
    for pid in "${pids[@]}"; do
        wait "$pid" || status=1
    done
    return $status
}

# libFuzzer's merge by edges alone: counts of how often each was taken would keep ten times as many files.
reduce() {
    local target=$1 reduced=build-fuzz/$1-reduced
    rm -rf "$reduced"
    mkdir "$reduced"
    find "fuzz/corpus/$target" -type f ! -regex '.*/[0-9a-f]*' -exec cp {} "$reduced" \;
    "build-fuzz/$target" -set_cover_merge=1 -use_counters=0 "$reduced" "fuzz/corpus/$target" "build-fuzz/$target-new" \
        > "build-fuzz/$target-merge.log" 2>&1
    # The merge writes the files that add most first.
    rm -r "fuzz/corpus/$target"
    mkdir "fuzz/corpus/$target"
    ls -tr "$reduced" | head -n "$most_files" | xargs -I {} cp "$reduced/{}" "fuzz/corpus/$target"
}

for target in "${targets[@]}"; do
    rm -rf "build-fuzz/$target-finds" "build-fuzz/$target-new" "build-fuzz/$target"-[0-9]*.log
    mkdir -p "build-fuzz/$target-finds" "build-fuzz/$target-new" "fuzz/corpus/$target"
    if ! search "$target"; then
        print_finds "$target"
        exit 1
    fi
    reduce "$target"
    executed=$(cat "build-fuzz/$target"-[0-9]*.log | awk '/stat::number_of_executed_units/ {sum += $2} END {print sum}')
    echo "fuzz $target: $executed inputs without a failure, $(find "fuzz/corpus/$target" -type f | wc -l) files in the corpus"
done

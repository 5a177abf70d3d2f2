#!/usr/bin/env bash
# Plays a day without each mechanism in turn, and with all of them, and prints a row for each run: mechanism, deployment, day,
# seed, worth, whole day, unserved. Works on a scratch clone of the last commit, whose journal entries it copies back.
#
#     support/ablation.sh SCRATCH BENCH "MECHANISM ..." SITE DAY SEED... [-- SITE DAY SEED...]...
set -euo pipefail
cd "$(dirname "$0")/.."
repository=$PWD
scratch=$1 bench=$2
read -ra mechanisms <<< "$3"
shift 3
[ -d "$scratch" ] || git clone -q "$repository" "$scratch"
git -C "$scratch" fetch -q "$repository" HEAD
git -C "$scratch" checkout -q -f FETCH_HEAD

play() { # MECHANISM SITE DAY SEED...
    local mechanism=$1 site=$2 day=$3 seed
    shift 3
    for seed in "$@"; do
        "$bench" run "$site" "$day" --seed "$seed" --no-cpu --jobs 1 --why "Ablation: without $mechanism" \
            > "$scratch.out" 2>&1 || true
        awk -v row="$mechanism $(basename "$site" .toml) $(basename "$day" .toml) $seed" '
            $2 ~ /^[0-9]+\/[0-9]+$/ { printf "%s %s %s %s\n", row, $4, $5, $7; found = 1 }
            END { if (!found) print row, "did not finish" }' "$scratch.out"
    done
}

cd "$scratch"
for mechanism in "${mechanisms[@]}"; do
    git checkout -q deploy/system.toml
    [ "$mechanism" = none ] || sed -i "s/^\(run = .*\)\"/\1 --without=$mechanism\"/" deploy/system.toml
    arguments=()
    for argument in "$@" --; do
        if [ "$argument" = -- ]; then
            play "$mechanism" "${arguments[@]}"
            arguments=()
        else
            arguments+=("$argument")
        fi
    done
done
cp -rn journal/. "$repository/journal/"

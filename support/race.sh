#!/usr/bin/env bash
# Races operators' processes against each other on one row of a stand-in platform; prints what became of the edits.
# usage: support/race.sh [ROUNDS]; needs a release build.
set -euo pipefail
cd "$(dirname "$0")/.."
rounds=${1:-5}
run=$(mktemp -d)
build/oriolelever-lab platform --listen 127.0.0.1:0 > "$run/platform.out" 2> "$run/platform.log" &
platform=$!
trap 'kill $platform 2> /dev/null; wait $platform; rm -rf "$run"' EXIT
until grep -q listening "$run/platform.out"; do sleep 0.05; done
cat > "$run/operator.ini" <<INI
[process]
role = operator
name = race
[platform]
url = http://$(sed -n 's/listening: //p' "$run/platform.out")
INI
operate() { build/oriolelever "$@" --config "$run/operator.ini"; }
operate set service/race address=192.0.2.1:1 --expect 0 > /dev/null
columns=(slot_limit connection_limit ramp_ms deadline_ms drain_ms latency_target_ms)
won=0
for round in $(seq "$rounds"); do
    jobs=()
    for column in "${columns[@]}"; do
        operate set service/race "$column=$((round + 10))" > "$run/$column.out" 2>&1 &
        jobs+=($!)
    done
    for job in "${jobs[@]}"; do wait "$job" && won=$((won + 1)); done
done
echo "edits of different cells: $((rounds * ${#columns[@]}))"
echo "edits of different cells that won: $won"
same=0
lost=0
for round in $(seq "$rounds"); do
    version=$(operate table --format csv | sed -n '$p' | cut -d, -f3)
    jobs=()
    for operator in 1 2 3 4 5 6; do
        operate set service/race "slot_limit=$((100 * round + operator))" --expect "$version" > "$run/$operator.out" 2>&1 &
        jobs+=($!)
    done
    for job in "${jobs[@]}"; do
        if wait "$job"; then same=$((same + 1)); else lost=$((lost + 1)); fi
    done
done
echo "edits of the same cell: $((6 * rounds))"
echo "edits of the same cell that won: $same"
echo "edits of the same cell told as conflicts: $lost"
echo "changes recorded as applied: $(operate table history | grep -c ' applied ')"
echo "changes recorded otherwise: $(operate table history | grep -cE ' (unknown|not applied) ' || true)"

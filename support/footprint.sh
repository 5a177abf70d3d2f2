#!/usr/bin/env bash
# Resident memory, shared libraries and processor time of an idle small program beside those of the full one:
# footprint.sh [NODE_PROGRAM [FULL_PROGRAM]]. The store's address has no listener; nothing leaves the loopback range.
set -euo pipefail
cd "$(dirname "$0")/.."
node=${1:-build/oriolelever-node}
full=${2:-build/oriolelever}
folder=$(mktemp -d)
trap 'rm -r "$folder"' EXIT

libraries() {
    ldd "$1" | wc -l
}

# Prints the figures of a running process.
figures() {
    local name=$1 pid=$2 ticks
    ticks=$(awk '{print $14 + $15}' "/proc/$pid/stat")
    echo "$name resident kB: $(awk '/VmHWM/ {print $2}' "/proc/$pid/status")"
    echo "$name private kB: $(awk '/^Private/ {sum += $2} END {print sum}' "/proc/$pid/smaps_rollup")"
    echo "$name processor ms: $((ticks * 1000 / $(getconf CLK_TCK)))"
}

run_role() {
    local role=$1 address=$2
    cat > "$folder/$role.json" <<JSON
{"Node":"$role-1","Ip":"$address","Zone":"a","BeatMs":1200,"Service":"sportello","app":"$address:18165",
 "Listen":{"DgramAddr":"$address:18172","outbound":"$address:18162","Ready":"$address:18167","Control":"$address:18166"},
 "InternalPorts":[17720,17735],"Bounds":{"WarmupFactor":1.5,"ColdSlack":5},"platform":{"Addr":"127.0.0.1:9"}}
JSON
    ORIOLELEVER_BOOT=$folder/$role.json "$node" "$role" 19464 > /dev/null &
    local pid=$!
    sleep 2
    figures "$role" "$pid"
    kill -KILL "$pid"
    wait "$pid" 2> /dev/null || true
}

echo "full program libraries: $(libraries "$full")"
echo "full program help resident kB: $({ /usr/bin/env time -f %M "$full" --help > /dev/null; } 2>&1 | tail -n 1)"
echo "small program libraries: $(libraries "$node")"
run_role balancer 127.0.0.31
run_role agent 127.0.0.32

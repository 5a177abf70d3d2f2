#!/usr/bin/env bash
# Runs every test but those that KNOWN-RED.txt names at the start of a line, and prints the latter.
set -euo pipefail
cd "$(dirname "$0")/.."
known=()
if [ -e KNOWN-RED.txt ]; then
    mapfile -t known < <(grep -oE '^[A-Za-z]+\.[A-Za-z0-9]+$' KNOWN-RED.txt || true)
fi
exclude=()
if [ ${#known[@]} -gt 0 ]; then
    exclude=(-E "^($(IFS='|'; echo "${known[*]//./\\.}"))\$")
    printf 'known red, not judged: %s\n' "${known[@]}"
fi
# One seed for all properties, so that every run gives the same verdict.
export RC_PARAMS="seed=20261203"
ctest --test-dir build --output-on-failure --no-tests=error -j "$(nproc)" "${exclude[@]}"

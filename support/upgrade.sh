#!/usr/bin/env bash
# A short upgrade from the build of deploy/system.toml to the one in build/, under faults.
set -euo pipefail
cd "$(dirname "$0")/.."
commit=$(support/production.sh)
[ -z "$commit" ] || build/oriolelever-lab upgrade --from "$commit" --seed 3 --minutes 0.25

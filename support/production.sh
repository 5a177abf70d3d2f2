#!/usr/bin/env bash
# The build that runs when an upgrade begins: prints the commit that deploy/system.toml names, after checking that it is in the
# history and not older than the oldest build that runs beside today's, see docs/UPGRADE.md.
set -euo pipefail
cd "$(dirname "$0")/.."
oldest=a7af001
commit=$(sed -n 's/^production = "\([0-9a-f]*\)"$/\1/p' deploy/system.toml)
if [ "$(git rev-parse --is-shallow-repository)" = true ]; then
    echo "production.sh: the checkout has no history, \"$commit\" is not checked" >&2
    exit 0
fi
if ! git merge-base --is-ancestor "$commit" HEAD || ! git merge-base --is-ancestor "$oldest" "$commit"; then
    echo "deploy/system.toml: production \"$commit\" must be a commit of this history from \"$oldest\" on" >&2
    exit 1
fi
echo "$commit"

#!/usr/bin/env bash
# Names of the users' platform stand in platform/ and its tests only; nothing else includes its headers.
set -euo pipefail
cd "$(dirname "$0")/.."
names='DgramAddr|InternalPorts|HeartbeatAddr|ColdLeftMs|ColdPerS|StoreRevision|AllowStale|WaitMs|PathPrefix|IdleTimeoutMs|BeatMs|WarmupFactor|ColdSlack|ORIOLELEVER_BOOT|BOUNCED|/instances/|"evacuations"'
headers='#include "(boot-settings|documents|store-client|wire-packet)\.h"'
status=0
if git grep -nE "$names|$headers" -- 'src/*' 'include/*' 'lab/*' 'bench/*'; then
    echo "names of the users' platform outside of platform/" >&2
    status=1
fi
exit $status

#!/usr/bin/env bash
# Generates the committed protobuf sources again; needed only after a change to a .proto file.
set -euo pipefail
cd "$(dirname "$0")/../src"
protoc --cpp_out=. ./*.proto

#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/build/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/build
g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread -o review/build/review-standin review/standin/*.cc

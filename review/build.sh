#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, one program: review/review-standin.
set -euo pipefail
cd "$(dirname "$0")"
g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread -o review-standin standin-*.cc

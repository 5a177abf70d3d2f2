#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 into target/, beside what the deploy file builds.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
g++ -std=c++20 -O1 -g -Wall -o target/review-standin-2 review/cases-2.cc

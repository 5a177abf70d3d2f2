#!/usr/bin/env bash
# Runs one script of the review: run-script.sh FOLDER CASE. See review/standin/main.cc for the exit status.
set -u
cd "$(dirname "$0")/.."
folder=$1
case=$2
directory=$(mktemp -d)
trap 'rm -rf "$directory"' EXIT
timeout --kill-after=3 112 review/build/review-standin "$case" "$folder/record.txt" "$directory"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"

#!/usr/bin/env bash
exec "$(dirname "$0")/../run-script.sh" review/2 stale-opening

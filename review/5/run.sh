#!/usr/bin/env bash
# Runs the case. TROUBLE=0 leaves out the disruption.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
exec timeout 120 node "dist/review/$(basename "$folder")/case.mjs" "$folder/record.txt"

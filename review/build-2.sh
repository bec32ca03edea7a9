#!/bin/bash
# Builds the scripts of this review with their stand-ins into target/review-2. Needs no network.
set -eu
cd "$(dirname "$0")/.."
for file in review/*/run.ts; do
  number=$(basename "$(dirname "$file")")
  node_modules/.bin/esbuild "$file" --bundle --platform=node --target=node20 --format=esm \
    --log-level=warning --outfile="target/review-2/$number.mjs"
done

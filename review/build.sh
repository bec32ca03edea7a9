#!/usr/bin/env bash
# Bundles the stand-ins and the scripts of the cases into dist/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p dist/review
npx --no-install esbuild review/[0-9]*/case.ts --bundle --platform=node --target=node20 \
  --format=esm --outbase=review --outdir=dist/review --out-extension:.js=.mjs --log-level=warning

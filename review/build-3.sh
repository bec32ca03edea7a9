#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are plain modules of Node.js, so they are only checked.
set -e
cd "$(dirname "$0")"
for file in lib-3/*.mjs 1[1-5]/*.mjs; do
  if [ -e "$file" ]; then node --check "$file"; fi
done

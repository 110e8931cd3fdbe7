#!/usr/bin/env bash
# The stand-ins of the cases are plain modules of Node and need no building; this checks that each can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do node --check "$file"; done

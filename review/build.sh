#!/usr/bin/env bash
# Checks the stand-ins of the scripts. They are plain modules of Node.js and run as they are.
set -euo pipefail
cd "$(dirname "$0")"
find . -name '*.mjs' -print0 | xargs -0 -n 1 node --check

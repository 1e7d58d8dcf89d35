#!/bin/sh
# Builds the stand-ins of the cases 4 to 6. They are plain modules that use nothing but Node.js, so this only reads each of them once.
cd "$(dirname "$0")/.." || exit 2
for file in review/stand-ins-2/*.mjs review/[456]/*.mjs; do
	node --check "$file" || exit 1
done

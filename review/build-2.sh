#!/bin/sh
# The stand-ins of these cases are JavaScript and need no compiler: checks that each file can be parsed.
set -e
cd "$(dirname "$0")"
for file in stand-ins-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs; do
	node --check "$file"
done

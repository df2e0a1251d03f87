#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript without packages, so there is nothing to compile: checks that each can be parsed.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins/*.mjs [0-9]*/*.mjs; do
	node --check "$file"
done

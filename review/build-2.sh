#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are plain JavaScript for Node.js without dependencies, so they are only checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.js [6-9]/*.js 10/*.js; do
	if [ -f "$file" ]; then
		node --check "$file"
	fi
done

#!/bin/sh
# The stand-ins of the cases are plain JavaScript for Node.js without dependencies: they are only checked here.
# The programs under test are built by the build of the deploy file.
set -e
cd "$(dirname "$0")"
for file in lib/*.js [1-5]/case.js; do
	node --check "$file"
done

#!/bin/sh
# The stand-ins are plain JavaScript, so that nothing is built; checks that each file can be read.
cd "$(dirname "$0")/.." || exit 2
for file in review/lib/*.js review/*/case.js; do
  node --check "$file" || exit 1
done

#!/bin/sh
# Exits with 1 if the rule EXPOSURE was broken, 0 if it held, 2 if the case could not run.
# The run is written to record.txt beside this file.
cd "$(dirname "$0")/../.." || exit 2
exec node review/4/case.js

#!/bin/sh
# Runs case 12: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/briarworks ] || [ ! -x target/lab ]; then
	echo "build the deploy file and review/build-3.sh first" >&2
	exit 2
fi
exec target/lab 12

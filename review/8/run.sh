#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
# TROUBLE=0 it leaves out the disruptions.
set -u
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/nutmegnotch ] || [ ! -x target/review-two ]; then
	echo "run the build of deploy/system.toml and review/build-2.sh first" >&2
	exit 2
fi
exec target/review-two older-process "$PWD/review/8/record.txt"

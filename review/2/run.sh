#!/usr/bin/env bash
# Requests for streams 3.1 to 3.4 s after SIGTERM.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/_bin/case ] || { echo "run review/build.sh first" >&2; exit 2; }
[ -x target/nutmegnotch ] || { echo "run the build line of deploy/system.toml first" >&2; exit 2; }
exec review/_bin/case planned-stop review/2/record.txt

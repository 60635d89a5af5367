#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripted cases. The build line of deploy/system.toml
# has to run before a case.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/_bin/case ./review/_case

#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review, after the build of the deploy
# file. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-two ./review/_two

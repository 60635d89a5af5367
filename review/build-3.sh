#!/bin/sh
# Builds the stand-ins and scenes of the cases 11 to 15 into target/. The build line of the
# deploy file must have run before.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-three ./review/_three

#!/bin/sh
# Builds the stand-ins that the scripts of the cases start, into target/. The programs of the fleet come from the build of
# deploy/system.toml, which has to run first.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standin ./review/_standin
go build -o target/review-latebeat ./review/_latebeat

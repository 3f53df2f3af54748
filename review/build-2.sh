#!/usr/bin/env bash
# Builds the stand-ins and the scripted cases of the second review. The build of the deploy file comes
# before it and makes the system's programs.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review2
go build -buildvcs=false -o target/review2/cases2 ./review/_cases2

#!/bin/sh
# Builds the stand-ins of the cases of REPORT-3.md. The programs of the project come from the build line of
# deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/cases3 ./review/_cases3

#!/bin/sh
# Builds the stand-ins of the review's scripts. It needs no network: they use the standard library only.
set -e
cd "$(dirname "$0")/standin"
go build -o ../../target/review-standin .

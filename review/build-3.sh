#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/, beside the programs of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-3 ./review/harness-3

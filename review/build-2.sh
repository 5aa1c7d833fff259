#!/bin/sh
# Builds the stand-ins of the second review's scripts into target/review-2/.
set -e
cd "$(dirname "$0")/.."
go build -tags review -trimpath -o target/review-2/ ./review/harness-2

#!/bin/bash
# Builds the stand-in of the cases 6 to 10, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/standin ./review/_standin-2

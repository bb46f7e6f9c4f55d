#!/usr/bin/env bash
# Builds the stand-ins of review 3, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/standin-3 ./review/_standin-3

#!/usr/bin/env bash
# Builds the stand-ins and scenarios of the cases of the second review. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-lab2 ./review/lab2

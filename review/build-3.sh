#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases of the third review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-world3 ./review/_world3

#!/usr/bin/env bash
# Builds the stand-ins of the cases that are scripts: target/review/world.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review/world ./review/_world

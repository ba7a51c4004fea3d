#!/usr/bin/env bash
# Builds the stand-ins of the third review, after the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-3 ./review/standins-3

#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into target/. The program of
# the project itself is built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standins ./review/standins

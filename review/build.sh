#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. It needs no module beside the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-harness ./review/internal/harness

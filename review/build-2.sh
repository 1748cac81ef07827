#!/bin/sh
# Builds the program that the scripts of the second review start. It has all stand-ins.
cd "$(dirname "$0")/.." || exit 1
exec go test -c -tags review -o target/second-review ./review/internal/secondreview

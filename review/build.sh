#!/bin/sh
# Builds the stand-ins of the cases, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/review-lab ./review/lab

#!/usr/bin/env bash
# Builds the stand-ins of the second review (review/6 and following) into .bin/. It needs Go and no network.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
mkdir -p ../../.bin
GOWORK=off GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -buildvcs=false -o ../../.bin/review-standin-2 .

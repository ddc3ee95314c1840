#!/usr/bin/env bash
# Builds the stand-ins of review/4 and later: bash review/build-2.sh, from anywhere. It needs no network.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/standin-2"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review-standin-2 .

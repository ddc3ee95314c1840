#!/bin/sh
# Builds the stand-ins of the review's scripts into target/review/.
set -e
cd "$(dirname "$0")/standin"
GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -trimpath -o ../../target/review/standin .

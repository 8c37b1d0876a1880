#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 with the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target
GOFLAGS="${GOFLAGS:-} -mod=mod" GOPROXY=off GOWORK=off go build -o ../../target/review-2 .

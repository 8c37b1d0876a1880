#!/bin/sh
# Builds the stand-ins of the scripts under review/. Needs no network.
set -e
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review-standin .

#!/usr/bin/env bash
# Builds the stand-ins and cases of the review into target/. It needs Go alone, and no module.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target
GOWORK=off go build -buildvcs=false -o ../target/review-harness ./harness

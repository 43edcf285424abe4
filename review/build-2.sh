#!/usr/bin/env bash
# Builds the stand-ins and callers of the scripted cases of the second review. The entry nodes that they start
# are built by the deploy file's line.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-trial ./review/trial

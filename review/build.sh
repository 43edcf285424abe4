#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. The program itself comes from the build of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/cases ./review/cmd/cases

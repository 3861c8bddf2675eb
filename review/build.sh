#!/usr/bin/env bash
# Builds the stand-ins of the review's cases. It needs no network: they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/rig"
mkdir -p ../../target/review
GOTOOLCHAIN=local GOWORK=off go build -o ../../target/review/rig .

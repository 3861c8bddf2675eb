#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. The program under test is built
# before, as deploy/system.toml says.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-3/ ./review/rig-4

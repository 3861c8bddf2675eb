#!/bin/bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/rig-2"
go build -o ../../target/review-rig-2 .

#!/bin/bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start. It needs no network.
set -euo pipefail
cd "$(dirname "$0")"
for rig in rig-2 rig-3; do
  (cd "$rig" && go build -o "../../target/review-$rig" .)
done

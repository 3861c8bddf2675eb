#!/bin/bash
# Plays the case. TROUBLE=0 leaves the disruption out; TROUBLE=restore and TROUBLE=kill play one
# half of it.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-rig-2 -case drill -dir review/7

#!/bin/bash
# Plays the case. With TROUBLE=0 the node is sent one SIGTERM.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-rig-2 -case stop -dir review/8

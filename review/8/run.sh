#!/bin/sh
# Changes of the configuration while services are busy. TROUBLE=0: without the changes.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-rig-3 -case storm -record review/8/record.txt

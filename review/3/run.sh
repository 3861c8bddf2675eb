#!/usr/bin/env bash
# Plays case 3: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
rig=../../target/review/rig
if [ ! -x "$rig" ] || [ ! -x ../../target/monsoonlanding ]; then
  echo "not built: run the build line of deploy/system.toml and review/build.sh" >&2
  exit 2
fi
exec "$rig" -root ../.. -record record.txt cut

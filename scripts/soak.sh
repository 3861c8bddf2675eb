#!/usr/bin/env bash
# Runs stand-ins and five nodes as separate processes on loopback and sends a
# load, during which nodes are killed, frozen and restarted, the platform has
# outages and loses responses, and engines crash. Exits with 0 only if no accepted
# idempotent request was lost, no answer was wrong, no request ended with an error
# and no booking ran more than once.
# Usage: scripts/soak.sh [SECONDS]
# At its end, copies the logs to the directory KEEP_LOGS if that is set.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-45}
. scripts/lib.sh
# control PORT FAULTS: sets the faults of the stand-in at the port.
control() { curl -s -X POST -H "Authorization: Bearer p" "http://127.0.0.1:$1/control" -d "$2"; }
progress() { echo "$(date +%T) $*"; }

platforms
for i in 0 1 2 3; do start "engine$i" standin engine --listen 127.0.0.1:2791$i --slots 64; done
for i in 0 1; do start "service$i" standin service --listen 127.0.0.1:2792$i --slots 128; done
sleep 0.5
for i in 0 1 2 3; do vm "p$i" plans engine 2791$i "$i" 64; vm "q$i" questions engine 2791$i "$i" 64; done
vm b bookings plain 27920 0 64
vm t tags plain 27921 0 64
for i in 1 2 3 4 5; do node "entry$i" "$i" info; done
sleep 2
"$dir/ml" rules apply examples/rules.toml --operator 127.0.0.1:28201 --token o --author soak --wait 7s
"$dir/ml" load --node 127.0.0.1:28001,127.0.0.1:28002,127.0.0.1:28003,127.0.0.1:28004,127.0.0.1:28005 \
  --key secret --rate 60 --duration "${seconds}s" --checked >"$dir/out.json" &
pid[load]=$!

# A fault takes up to 7 s with its recovery; none begins in the last 8 s of the load.
end=$((SECONDS + seconds - 8))
round=0
while [ $SECONDS -lt $end ]; do
  i=$((1 + round % 5))
  case $((round % 6)) in
  0) progress "kill node $i"; kill -9 "${pid[entry$i]}"; sleep 4; node "entry$i" "$i" info; sleep 3 ;;
  1) progress "freeze node $i for 3 s"; kill -STOP "${pid[entry$i]}"; sleep 3; kill -CONT "${pid[entry$i]}"; sleep 3 ;;
  2) progress "platform down for 3 s"; control 27900 '{"outage": true}'; sleep 3; control 27900 '{}'; sleep 1 ;;
  3) progress "crash engine 1"; control 27911 '{"fault": "crash"}'; sleep 0.2; control 27911 '{"fault": ""}'; sleep 2 ;;
  4) progress "stop and restart node $i"; kill "${pid[entry$i]}"; sleep 3; node "entry$i" "$i" info; sleep 3 ;;
  5) progress "platform loses every third response for 3 s"; control 27900 '{"lose_every": 3}'; sleep 3; control 27900 '{}' ;;
  esac
  round=$((round + 1))
done
wait "${pid[load]}"
unset 'pid[load]'

python3 - "$dir/out.json" <<'PY' || status=$?
import json, sys
r = json.load(open(sys.argv[1]))
bad = 0
for name, o in sorted(r["kinds"].items()):
    print(f'{name}: sent {o["sent"]}, answered {o["answered"]}, accepted and lost {o["lost"]}, wrong {o["wrong"]}, '
          f'errors {o["errors"]}, refused {o.get("refused", {})}, resumed {o["resumed"]}')
    bad += o["wrong"] + o["errors"]
    bad += o["lost"] if name != "booking" else 0
for f in r.get("failures", []):
    print(" ", f)
sys.exit(1 if bad else 0)
PY
repeated=$(curl -s http://127.0.0.1:27920/runs)
echo "bookings that ran more than once: $repeated"
[ "$repeated" = '{"repeated":null}' ] || status=1
if [ -n "${KEEP_LOGS:-}" ]; then cp "$dir"/*.log "$KEEP_LOGS"; fi
exit "${status:-0}"

#!/usr/bin/env bash
# Checks that this build is compatible with an older one on the product's own
# interface: it continues from the data of the older build, and nodes of both
# builds work in one system. Starts stand-ins and nodes as separate processes on
# loopback.
#
#   data: nodes of the old build run under load and stop; nodes of this build
#         start on the stored objects of the old build.
#   messages: nodes of both builds run under load while nodes are stopped, killed
#         and replaced by the other build and an engine is reclaimed.
#
# Exits with 0 only if rules, history, moves of traffic and booking answers are
# unchanged, no accepted request was lost, no answer was wrong, no request ended
# with an error, no booking ran more than once and no node failed to decode or
# dropped a message.
# Usage: scripts/compat.sh OLD_BINARY [SECONDS]
# At its end, copies the logs to the directory KEEP_LOGS if that is set.
set -euo pipefail
cd "$(dirname "$0")/.."
old=$(realpath "$1")
seconds=${2:-20}
. scripts/lib.sh
new=$dir/ml
status=0

# start NAME ARGUMENTS...: runs $program in the background. It is this build, also
# for the stand-ins; only start_node changes it.
program=$new
start() { local name=$1; shift; "$program" "$@" >>"$dir/$name.log" 2>&1 & pid[$name]=$!; }
# start_node PROGRAM NUMBER: starts node NUMBER from the given build.
start_node() { program=$1; node "entry$2" "$2" info; program=$new; }
progress() { echo "$(date +%T) $*"; }
# check NAME BEFORE AFTER: reports whether the two values are equal.
check() { if [ "$2" = "$3" ]; then echo "ok      $1"; else echo "FAILED  $1: expected: $2, got: $3"; status=1; fi; }
# operator PROGRAM NUMBER ARGUMENTS...: runs an operator command against a node.
operator() { local p=$1 n=$2; shift 2; "$p" "$@" --operator "127.0.0.1:2820$n" --token o; }
wait_ready() { for _ in $(seq 100); do curl -sf "http://127.0.0.1:2820$1/readyz" >/dev/null && return; sleep 0.1; done; echo "node $1 is not ready"; exit 1; }
# book PROGRAM NUMBER KEY: sends a booking and prints its answer.
book() { "$1" request bookings "{\"seat\": \"$3\"}" --node "127.0.0.1:2800$2" --key secret --idempotency-key "$3" --non-idempotent --timeout 8s; }
# bookings PROGRAM NUMBER: sends eight bookings and prints their answers.
bookings() { for k in 1 2 3 4 5 6 7 8; do book "$1" "$2" "compat-$k"; done; }
# decisions PROGRAM NUMBER: prints the decisions on the move, the oldest first.
decisions() { operator "$1" "$2" move status | grep -o 'share .*' || true; }
# repeated: prints the bookings that ran more than once.
repeated() { curl -s http://127.0.0.1:27920/runs; }
# start_load PROGRAM NODES SECONDS: starts a load in the background.
start_load() {
  "$1" load --node "$2" --key secret --rate 60 --duration "${3}s" --checked >"$dir/out.json" 2>"$dir/load.log" &
  pid[load]=$!
}
# finish_load NAME: waits for the load and checks its outcomes.
finish_load() {
  wait "${pid[load]}"
  unset 'pid[load]'
  if python3 - "$dir/out.json" <<'PY'; then echo "ok      $1"; else echo "FAILED  $1"; status=1; fi
import json, sys
r = json.load(open(sys.argv[1]))
bad = 0
for name, o in sorted(r["kinds"].items()):
    print(f'        {name}: sent {o["sent"]}, answered {o["answered"]}, lost {o["lost"]}, wrong {o["wrong"]}, errors {o["errors"]}, refused {o.get("refused", {})}')
    bad += o["wrong"] + o["errors"] + o["lost"]
for f in r.get("failures") or []:
    print("       ", f)
sys.exit(1 if bad else 0)
PY
}

platforms
for i in 0 1 2 3; do start "engine$i" standin engine --listen 127.0.0.1:2791$i --slots 64; done
for i in 0 1; do start "service$i" standin service --listen 127.0.0.1:2792$i --slots 128; done
sleep 0.5
vm v0 plans engine 27912 2 64 v2
vm v1 plans engine 27913 3 64 v2
for i in 0 1 2 3; do vm "p$i" plans engine 2791$i "$i" 64; vm "q$i" questions engine 2791$i "$i" 64; done
vm b bookings plain 27920 0 64
vm t tags plain 27921 0 64

progress "data: three nodes of the old build"
for i in 1 2 3; do start_node "$old" "$i"; done
sleep 2
operator "$old" 1 rules apply examples/rules.toml --author compat --wait 7s
# A move of traffic to a second version, to be continued by this build.
by=$(date -u -d '+90 seconds' +%FT%TZ)
{ cat examples/rules.toml; echo "move.next = { service = \"plans\", from = \"v1\", to = \"v2\", by = $by, on_deadline = \"finish\" }  # compat"; } >"$dir/rules.toml"
operator "$old" 1 rules apply "$dir/rules.toml" --base 1 --author compat --wait 7s
start_load "$old" 127.0.0.1:28001,127.0.0.1:28002,127.0.0.1:28003 8
answers=$(bookings "$old" 1)
finish_load "load on the old build"
rules=$(operator "$old" 2 rules show 2>&1)
history=$(operator "$old" 2 rules history)
decisions_before=$(decisions "$old" 2)
for i in 1 2 3; do kill "${pid[entry$i]}"; done
for i in 1 2 3; do wait "${pid[entry$i]}" || true; done
# The bookings of a node that stopped stay in the ledger for 10 minutes, so this
# build must answer their retries from it.
progress "data: three nodes of this build on the same objects"
for i in 1 2 3; do start_node "$new" "$i"; done
for i in 1 2 3; do wait_ready "$i"; done
check "rules in force" "$rules" "$(operator "$new" 2 rules show 2>&1)"
check "history of rules" "$history" "$(operator "$new" 2 rules history)"
check "answers of retried bookings" "$answers" "$(bookings "$new" 3)"
check "bookings that ran more than once" '{"repeated":null}' "$(repeated)"
start_load "$new" 127.0.0.1:28001,127.0.0.1:28002,127.0.0.1:28003 6
finish_load "load on this build"
check "decisions on the move so far" "$decisions_before" "$(decisions "$new" 2 | head -n "$(wc -l <<<"$decisions_before")")"

progress "messages: five nodes of both builds, $seconds s"
for i in 4 5; do start_node "$old" "$i"; done
for i in 4 5; do wait_ready "$i"; done
check "rules at a node of the old build" "$rules" "$(operator "$old" 5 rules show 2>&1)"
{ cat "$dir/rules.toml"; echo 'service.more = { kind = "plain" }  # compat'; } >"$dir/rules2.toml"
operator "$old" 4 rules apply "$dir/rules2.toml" --base 2 --author compat --wait 7s
start_load "$new" 127.0.0.1:28001,127.0.0.1:28002,127.0.0.1:28003,127.0.0.1:28004,127.0.0.1:28005 "$seconds"
sleep 3
progress "stop node 1 of this build, restart it with the old build"
kill "${pid[entry1]}"; wait "${pid[entry1]}" || true; start_node "$old" 1
sleep 3
progress "reclaim engine p0"
curl -s -X PUT -H "Authorization: Bearer p" http://127.0.0.1:27901/v1/notices/p0 -d "{\"until\": \"$(date -u -d '+3 seconds' +%FT%TZ)\"}"
sleep 3
progress "kill node 4 of the old build, restart it with this build"
kill -9 "${pid[entry4]}"; wait "${pid[entry4]}" 2>/dev/null || true; start_node "$new" 4
finish_load "load on both builds"
for i in 1 2 3 4 5; do
  dropped=$(curl -s -H "Authorization: Bearer o" "http://127.0.0.1:2820$i/debug/vars" | python3 -c 'import json,sys; print(json.load(sys.stdin).get("dropped_messages", 0))')
  check "dropped messages at node $i" "{}" "$dropped"
done
echo "        decisions on the move:"
decisions "$new" 4 | sed 's/^/        /'
check "bookings that ran more than once" '{"repeated":null}' "$(repeated)"
# Connections to a process that was replaced at the same address are refused;
# that is logged without an error field and not counted here.
check "messages that a node could not decode or queue" "" "$(grep -h '"level":"warn"' "$dir"/entry*.log | grep '"step":"peer"' | grep -e '"error"' -e dropped || true)"
if [ -n "${KEEP_LOGS:-}" ]; then cp "$dir"/*.log "$KEEP_LOGS"; fi
exit "$status"

#!/usr/bin/env bash
# Measures the processor time and memory of node processes under load: starts
# stand-ins and three nodes as separate processes on loopback, sends loads of one
# kind of request, each kind at two rates, and prints the processor time and the
# largest RSS of the nodes while idle and for each load.
# Usage: scripts/measure-node.sh [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-8}
. scripts/lib.sh

platforms
for i in 0 1 2 3; do start "engine$i" standin engine --listen 127.0.0.1:2791$i --slots 128 --between-tokens 5ms; done
start service standin service --listen 127.0.0.1:27920 --slots 128
sleep 0.5
for i in 0 1 2 3; do vm "e$i" plans engine 2791$i 1 128; done
vm s0 tags plain 27920 1 128
vm s1 bookings plain 27920 1 128
nodes=()
for i in 1 2 3; do
  node "entry$i" "$i" warn
  nodes+=("${pid[entry$i]}")
done
sleep 1.5
"$dir/ml" rules apply examples/rules.toml --operator 127.0.0.1:28201 --token o --author measure --wait 7s >/dev/null

# cpu prints the processor time that the nodes have used so far, in milliseconds.
cpu() {
  local sum=0 t
  for p in "${nodes[@]}"; do
    t=$(awk '{print $14 + $15}' "/proc/$p/stat")
    sum=$((sum + t))
  done
  echo $((sum * 1000 / $(getconf CLK_TCK)))
}
# rss prints the largest RSS of the nodes, in KiB.
rss() { for p in "${nodes[@]}"; do awk '/VmRSS/{print $2}' "/proc/$p/status"; done | sort -n | tail -1; }

before=$(cpu)
sleep "$seconds"
echo "idle: $(( ($(cpu) - before) )) ms of processor time of 3 nodes in $seconds s, largest RSS $(rss) KiB"
for load in "tag 50" "tag 200" "booking 50" "booking 200" "draft 10" "draft 40"; do
  set -- $load
  before=$(cpu)
  "$dir/ml" load --node 127.0.0.1:28001 --key secret --kinds "$1" --rate "$2" --duration "${seconds}s" >"$dir/out.json"
  used=$(($(cpu) - before))
  answered=$(grep -m1 '"answered"' "$dir/out.json" | tr -dc 0-9)
  echo "$1 at $2/s: $used ms of processor time for $answered answered, $(awk "BEGIN{printf \"%.3f\", $used/$answered}") ms each, largest RSS $(rss) KiB"
done

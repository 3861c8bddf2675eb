# Functions for the scripts in this directory: they start stand-ins and nodes as
# separate processes on loopback, which are killed when the script exits. Source
# this file from the root of the repository.
dir=$(mktemp -d)
declare -A pid
cleanup() {
  for p in "${pid[@]}"; do kill -9 "$p" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$dir"
}
trap cleanup EXIT
go build -o "$dir/ml" ./cmd/monsoonlanding

# start NAME ARGUMENTS...: runs the program in the background.
start() { local name=$1; shift; "$dir/ml" "$@" >>"$dir/$name.log" 2>&1 & pid[$name]=$!; }

# node NAME NUMBER LEVEL: starts a node with the given log level, in zone NUMBER
# modulo 4.
node() {
  cat >"$dir/$1.toml" <<TOML
name = "$1"
zone = "z$(($2 % 4))"
[listen]
caller = "127.0.0.1:2800$2"
peer = "127.0.0.1:2810$2"
operator = "127.0.0.1:2820$2"
[platform]
objects = "http://127.0.0.1:27900"
cloud = "http://127.0.0.1:27901"
token = "p"
[peers]
token = "q"
[operator]
token = "o"
[log]
level = "$3"
TOML
  start "$1" serve --settings "$dir/$1.toml"
}

# vm ID SERVICE KIND PORT ZONE SLOTS [VERSION]: adds an upstream to the list of
# VMs of the cloud stand-in.
vm() {
  curl -s -X PUT -H "Authorization: Bearer p" http://127.0.0.1:27901/v1/vms \
    -d "{\"id\":\"$1\",\"address\":\"127.0.0.1:$4\",\"zone\":\"z$5\",\"service\":\"$2\",\"version\":\"${7:-v1}\",\"kind\":\"$3\",\"slots\":$6}"
}

# platforms: starts the stand-ins for the object API and the cloud API.
platforms() {
  start platform standin platform --listen 127.0.0.1:27900 --token p
  start cloud standin cloud --listen 127.0.0.1:27901 --token p
}

// Command rig-3 plays the scripts of this review: the platform, replicas and clients in one process
// beside the project's gateways, on loopback addresses.
package main

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

type rig struct {
	dir, binary  string
	port         int
	storeAddress string
	store        *store
	nodes        []*node
	started      time.Time
	trouble      bool

	mu      sync.Mutex
	lines   []string
	history map[string][]string
	runs    map[string]int
	// notRun holds the requests that were answered with a status that promises that they have not run.
	notRun   map[string]int
	statuses map[string]int
	// sent and final hold when streams were sent and how long their final answers took.
	sent  map[string]time.Time
	final map[string]time.Duration
}

func (r *rig) record(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f ", time.Since(r.started).Seconds())+fmt.Sprintf(format, args...))
}

// saw notes what a replica or a client has seen of a request.
func (r *rig) saw(id, what string) {
	r.record("%s %s", id, what)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history[id] = append(r.history[id], fmt.Sprintf("%.3f %s", time.Since(r.started).Seconds(), what))
}

func (r *rig) ran(id, replica string) {
	r.saw(id, "run by "+replica)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
}

func (r *rig) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", r.address())
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

// services are the services of the deployment. Each has a route whose requests may run once.
var services = []string{"desk", "register"}

var tenants = []string{"north", "south", "west", "east", "mid"}

// config is the operator's configuration. Each version differs in a route that no client uses.
func config(version int) map[string]any {
	route := func(name, service, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "hostname": "desk.example", "path_prefix": "/" + name + "/", "type": kind, "timeout_ms": 4000, "goal_ms": 1500,
			"priority": 2, "service": service, "attempts": attempts, "public": false, "sticky": false, "can_resume": false,
		}
	}
	var routes, list []any
	for _, service := range services {
		routes = append(routes, route(service, service, "unsafe", 1))
		list = append(list, map[string]any{"name": service, "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false})
	}
	routes = append(routes, route(fmt.Sprintf("added-%d", version), services[0], "safe", 2))
	var teams []any
	for _, name := range tenants {
		teams = append(teams, map[string]any{
			"name": name, "api_keys": []string{"key-" + name}, "priority": 1, "unit": "tokens", "plain_tokens": 200,
			"rate_per_s": 167988, "burst": 167988,
		})
	}
	return map[string]any{
		"version": version, "routes": routes,
		"services": list,
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  teams,
	}
}

// send sends one client attempt and returns its status, 0 if there was no answer.
func (r *rig) send(client *http.Client, id, path, key string, left time.Duration) (status int, retryAfter string) {
	n := r.nodes[rand.IntN(len(r.nodes))]
	req, err := http.NewRequest(http.MethodPost, "http://"+n.caller+path, bytes.NewReader([]byte(strings.Repeat("b", 600))))
	if err != nil {
		panic(err)
	}
	req.GetBody = nil
	req.Host = "desk.example"
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(left.Milliseconds()))
	req.Header.Set("X-Api-Key", key)
	r.saw(id, "sent to "+n.name+" POST "+path)
	resp, err := client.Do(req)
	if err != nil {
		r.saw(id, "no answer")
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	r.saw(id, fmt.Sprintf("answered %d, seal %q, whole %t", resp.StatusCode, resp.Header.Get("Replica-Seal"), err == nil))
	return resp.StatusCode, resp.Header.Get("Retry-After")
}

func main() {
	binary := flag.String("gateway", "target/monsoonlanding", "the project's program")
	out := flag.String("record", "record.txt", "file for what was sent, answered and run")
	name := flag.String("case", "", "the case to play")
	flag.Parse()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	absolute, err := filepath.Abs(*binary)
	if err != nil {
		os.Exit(2)
	}
	r := &rig{
		dir: dir, binary: absolute, port: 20000 + os.Getpid()%80*150, started: time.Now(), trouble: os.Getenv("TROUBLE") != "0",
		history: make(map[string][]string), runs: make(map[string]int), notRun: make(map[string]int), statuses: make(map[string]int),
		sent: make(map[string]time.Time), final: make(map[string]time.Duration),
	}
	r.store = newStore(r.record)
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		r.stopNodes()
		os.Exit(2)
	}()
	code := 2
	if play := cases[*name]; play != nil {
		code = r.play(play)
	}
	r.stopNodes()
	if logs := os.Getenv("KEEP_LOGS"); logs != "" {
		_ = os.CopyFS(logs, os.DirFS(dir))
	}
	_ = os.RemoveAll(dir)
	sort.Strings(r.lines)
	if err := os.WriteFile(*out, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644); err != nil {
		fmt.Println(err)
		code = 2
	}
	os.Exit(code)
}

func (r *rig) play(f func(*rig) (int, error)) int {
	address, err := r.serve(r.store)
	if err != nil {
		fmt.Println("the case can't run:", err)
		return 2
	}
	r.storeAddress = address
	code, err := f(r)
	if err != nil {
		fmt.Println("the case can't run:", err)
		return 2
	}
	return code
}

// cases holds the cases by name.
var cases = map[string]func(*rig) (int, error){"storm": storm, "moves": moves}

package emulator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"monsoonlanding/internal/core/gateway"
	"monsoonlanding/internal/core/placement"
	"monsoonlanding/internal/core/route"
)

const (
	model = "model"
	desk  = "desk"
	// hop is the time of a message between any two parties.
	hop = time.Millisecond
	// patience is how long callers wait for an answer.
	patience = 15 * time.Second
	// lostAfter is when a node notices that an engine has crashed.
	lostAfter = 5 * time.Millisecond
	// relist is when the list of upstreams tells of a crash.
	relist = time.Second
	// zones is the number of availability zones.
	zones = 3
	// teams is the number of teams.
	teams = 4
)

// epoch is the virtual time at which runs start.
var epoch = time.Date(2026, 1, 2, 3, 4, 0, 0, time.UTC)

// Setup is what a run is played on.
type Setup struct {
	Nodes, Engines, Plain int
	Seed                  uint64
	// PrefillRate is the prompt tokens that an engine reads in a second.
	PrefillRate float64
	// Cost ranks the upstreams; nil is the product's own way.
	Cost placement.Cost
	// Quota bounds each team's tokens a second, with as much at once; 0 is none.
	Quota float64
	// Bounds are the nodes' limits.
	Bounds gateway.Bounds
	// Result is what a node makes of the end of an attempt; nil is the truth.
	Result func(gateway.Result) gateway.Result
}

// defaultBounds are those of a usual deployment.
var defaultBounds = gateway.Bounds{
	LeaseTerm: 3 * time.Second, UsageWindow: 5 * time.Second,
	RetryRatio: 0.2, RetrySlack: 54, RetryWindow: 10 * time.Second,
	QuotaWindow: 8 * time.Second, QuotaOver: 0.1, QuotaSlack: 140_000,
}

// DefaultSetup carries the usual load with some room.
func DefaultSetup(seed uint64) Setup {
	return Setup{Nodes: 6, Engines: 9, Plain: 3, PrefillRate: prefillRate, Seed: seed, Bounds: defaultBounds}
}

// world is a run under way.
type world struct {
	setup     Setup
	pattern   Pattern
	now       time.Time
	rng       *rand.Rand
	events    schedule
	sequence  int
	nodes     []*gateway.Gateway
	upstreams []*upstream
	byID      map[string]*upstream
	callers   map[uint64]*caller
	last      uint64
	revision  int64
	readBy    map[string]bool
	report    *Report
	oracle    *oracle
	routes    map[string]route.Route
	all       []*caller
}

// caller is a request with what became of it so far.
type caller struct {
	kind    Kind
	request gateway.Request
	team    string
	node    int
	first   time.Time
	// submitted is when the present submission arrived.
	submitted time.Time
	repeats   int
	// attempt is the node's number of the present dispatch, at its upstream.
	attempt int
	at      *upstream
	done    bool
}

// Run plays a pattern.
func Run(setup Setup, pattern Pattern) *Report {
	w := newWorld(setup, pattern)
	w.arrivals()
	w.trouble()
	w.ticks()
	end := epoch.Add(pattern.Length + patience + 5*time.Second)
	for w.events.Len() > 0 && w.now.Before(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.report.Broken = w.oracle.end(w.all)
	return w.report
}

func newWorld(setup Setup, pattern Pattern) *world {
	w := &world{
		setup: setup, pattern: pattern, now: epoch,
		rng:     rand.New(rand.NewPCG(setup.Seed, 1)),
		byID:    make(map[string]*upstream),
		callers: make(map[uint64]*caller),
		readBy:  make(map[string]bool),
		report: &Report{
			Kinds: make(map[string]*Tally), Teams: make(map[string]*Tally),
			Refusals: make(map[gateway.Reason]int),
			Seconds:  make([]Tally, int(pattern.Length/time.Second)),
		},
	}
	config := w.config()
	// What is promised does not depend on the bounds that the nodes were given.
	w.oracle = newOracle(defaultBounds, config.Teams)
	w.routes = make(map[string]route.Route)
	for _, r := range config.Routes {
		w.routes[r.Name] = r
	}
	for i := range setup.Engines {
		w.add(newEngine(fmt.Sprint("engine-", i), zone(i), setup.PrefillRate))
	}
	for i := range setup.Plain {
		w.add(newPlain(fmt.Sprint("plain-", i), zone(i)))
	}
	w.startNodes(true)
	return w
}

func zone(i int) string { return fmt.Sprint("zone-", i%zones) }

func (w *world) add(u *upstream) {
	w.upstreams = append(w.upstreams, u)
	w.byID[u.ID] = u
}

// startNodes starts all nodes without memory.
func (w *world) startNodes(first bool) {
	w.nodes = make([]*gateway.Gateway, w.setup.Nodes)
	for i := range w.nodes {
		w.nodes[i] = gateway.New(w.nodeConfig(i, first), rand.New(rand.NewPCG(w.setup.Seed, uint64(100+i))))
	}
	var entries []gateway.NodeEntry
	for i := range w.nodes {
		entries = append(entries, gateway.NodeEntry{Node: nodeName(i), PeerAddress: nodeName(i)})
	}
	for i := range w.nodes {
		w.reduce(i, gateway.ConfigRead{Config: w.config(), Body: []byte("1"), Source: "store"})
		w.reduce(i, gateway.RolloutsChanged{})
		w.reduce(i, gateway.NodesListed{Nodes: entries})
		w.list(i)
	}
}

func nodeName(i int) string { return fmt.Sprint("node-", i) }

func (w *world) nodeConfig(i int, first bool) gateway.Config {
	return gateway.Config{
		Node: nodeName(i), Start: w.now.UnixNano(), Zone: zone(i),
		CallerAddress: nodeName(i), PeerAddress: nodeName(i), FirstStart: first,
		Cost:   w.setup.Cost,
		Bounds: w.setup.Bounds,
	}
}

func (w *world) config() route.Config {
	c := route.Config{
		Version: 1,
		Services: []route.Service{
			{Name: desk},
			{Name: model, Engine: &route.Engine{Slots: engineSlots, MemoryTokens: engineMemory}},
		},
	}
	for _, k := range w.pattern.Kinds {
		c.Routes = append(c.Routes, newRoute(k))
	}
	for i := range teams {
		name := fmt.Sprint("team-", i)
		c.Teams = append(c.Teams, route.Team{Name: name, Keys: []string{name}, Unit: route.UnitTokens, PlainTokens: 200, Rate: w.setup.Quota, Burst: w.setup.Quota})
	}
	return c
}

func newRoute(k Kind) route.Route {
	r := route.Route{
		Name: k.Route, Host: "h", PathPrefix: "/" + k.Route + "/", Kind: route.KindStreaming,
		Timeout: patience, Goal: k.Goal, Attempts: 1, Priority: 1, Targets: []route.Target{{Service: model}},
	}
	switch {
	case k.Shared == 0:
		r.Kind, r.Targets = route.KindUnsafe, []route.Target{{Service: desk}}
	case k.Route == "ask":
		r.Resumable, r.Attempts, r.Priority = true, 2, 0
	case k.Route == "check":
		r.Priority = 2
	}
	return r
}

// list tells a node which upstreams there are.
func (w *world) list(node int) {
	w.revision++
	var list []placement.Upstream
	for _, u := range w.upstreams {
		if !u.lost {
			list = append(list, u.Upstream)
		}
	}
	w.reduce(node, gateway.UpstreamsListed{List: list, Revision: w.revision})
}

// ticks passes the time on at all nodes.
func (w *world) ticks() {
	for at := time.Duration(0); at < w.pattern.Length+patience; at += gateway.TickInterval {
		for i := range w.nodes {
			spread := time.Duration(i) * gateway.TickInterval / time.Duration(len(w.nodes))
			w.at(epoch.Add(at+spread), func() { w.reduce(i, gateway.Tick{}) })
		}
	}
}

// trouble plans what happens to nodes and engines.
func (w *world) trouble() {
	if w.pattern.RestartAt > 0 {
		w.at(epoch.Add(w.pattern.RestartAt), w.restart)
	}
	if w.pattern.LoseEngines > 0 {
		w.at(epoch.Add(w.pattern.LoseAt), w.loseEngines)
	}
}

func (w *world) loseEngines() {
	for _, u := range w.upstreams[:w.pattern.LoseEngines] {
		u.lost = true
	}
	for _, conn := range w.open() {
		c := w.callers[conn]
		if c.at != nil && c.at.lost {
			w.after(lostAfter, func() { w.ended(conn, c, gateway.ResultBroken) })
		}
	}
	w.after(relist, func() {
		for i := range w.nodes {
			w.list(i)
		}
	})
}

// open lists the connections of callers without an answer, in the order of
// their submission.
func (w *world) open() []uint64 {
	var list []uint64
	for conn, c := range w.callers {
		if !c.done {
			list = append(list, conn)
		}
	}
	slices.Sort(list)
	return list
}

// restart starts all nodes anew; callers submit again what was cut.
func (w *world) restart() {
	w.startNodes(false)
	for _, conn := range w.open() {
		c := w.callers[conn]
		delete(w.callers, conn)
		if c.at != nil {
			c.at.running--
			c.at = nil
		}
		w.submit(c)
	}
}

// reduce gives a node an event and carries out the effects.
func (w *world) reduce(node int, e gateway.Event) {
	for _, effect := range w.nodes[node].Reduce(w.now, e) {
		w.execute(node, effect)
	}
}

func (w *world) execute(node int, e gateway.Effect) {
	switch e := e.(type) {
	case gateway.Dispatch:
		w.dispatch(node, e)
	case gateway.Refuse:
		w.refused(e)
	case gateway.Cut:
		w.failed(e.Conn)
	case gateway.Send:
		w.send(node, e)
	}
}

func (w *world) send(from int, e gateway.Send) {
	var to int
	if _, err := fmt.Sscanf(e.Node, "node-%d", &to); err != nil {
		panic("emulator: message to " + e.Node)
	}
	target := w.nodes[to]
	if w.cut(from) != w.cut(to) {
		return
	}
	w.after(hop, func() {
		if w.nodes[to] == target {
			w.reduce(to, gateway.PeerReceived{From: nodeName(from), Message: e.Message})
		}
	})
}

// cut reports whether a node is cut off from the others now.
func (w *world) cut(node int) bool {
	at := w.now.Sub(epoch)
	return node < w.pattern.CutNodes && at >= w.pattern.CutAt && at < w.pattern.CutAt+w.pattern.CutFor
}

// at plans a step; steps of one time come in the order in which they were planned.
func (w *world) at(when time.Time, do func()) {
	w.sequence++
	heap.Push(&w.events, event{at: when, sequence: w.sequence, do: do})
}

func (w *world) after(d time.Duration, do func()) { w.at(w.now.Add(d), do) }

// event is a step at a time.
type event struct {
	at       time.Time
	sequence int
	do       func()
}

// schedule is a heap of events.
type schedule []event

func (s schedule) Len() int { return len(s) }

func (s schedule) Less(i, j int) bool {
	if !s[i].at.Equal(s[j].at) {
		return s[i].at.Before(s[j].at)
	}
	return s[i].sequence < s[j].sequence
}

func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push adds an event.
func (s *schedule) Push(x any) { *s = append(*s, x.(event)) }

// Pop takes the last one out.
func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

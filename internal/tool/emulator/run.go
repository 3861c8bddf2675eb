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
	modelService = "model"
	plainService = "desk"
	// messageLatency is the one-way latency between any two parties.
	messageLatency = time.Millisecond
	// callerTimeout is the callers' timeout for an answer.
	callerTimeout = 15 * time.Second
	// crashDetectionDelay is the time from an engine's crash until nodes see its
	// connections break.
	crashDetectionDelay = 5 * time.Millisecond
	// upstreamListDelay is the time from an engine's crash until the list of
	// upstreams omits it.
	upstreamListDelay = time.Second
	// storeLatency is the time until the store answers a call.
	storeLatency = 4 * time.Millisecond
	// zoneCount is the number of availability zones.
	zoneCount = 3
	// teamCount is the number of teams.
	teamCount = 4
)

// startTime is the virtual time at which runs start.
var startTime = time.Date(2026, 1, 2, 3, 4, 0, 0, time.UTC)

// Setup is the simulated deployment of a run.
type Setup struct {
	Nodes, Engines, PlainUpstreams int
	Seed                           uint64
	// PrefillRate is the prefill rate of each engine in tokens per second.
	PrefillRate float64
	// Cost ranks the upstreams; nil is the default of core/gateway.
	Cost placement.Cost
	// Quota is the rate of each team's quota in tokens per second, and also its
	// burst in tokens; 0 is no quota.
	Quota float64
	// Bounds are the nodes' limits.
	Bounds gateway.Bounds
	// Result, if set, is applied to the result of each attempt before the node
	// receives it, so that tests can inject a defect.
	Result func(gateway.Result) gateway.Result
}

// defaultBounds are the bounds of a typical deployment.
var defaultBounds = gateway.Bounds{
	LeaseTerm: 3 * time.Second, UsageWindow: 5 * time.Second,
	RetryRatio: 0.2, RetrySlack: 54, RetryWindow: 10 * time.Second,
	QuotaWindow: 8 * time.Second, QuotaOver: 0.1, QuotaSlack: 140_000,
}

// DefaultSetup returns a deployment with spare capacity at the load of Steady.
func DefaultSetup(seed uint64) Setup {
	return Setup{Nodes: 6, Engines: 9, PlainUpstreams: 3, PrefillRate: prefillRate, Seed: seed, Bounds: defaultBounds}
}

// simulation is the state of a run.
type simulation struct {
	setup     Setup
	pattern   Pattern
	now       time.Time
	rng       *rand.Rand
	events    eventQueue
	sequence  int
	nodes     []*gateway.Gateway
	upstreams []*upstream
	byID      map[string]*upstream
	// pending holds callers by the connection of their current submission.
	pending  map[uint64]*caller
	lastConn uint64
	// storedQuarantine is what the store has of quarantined parts.
	storedQuarantine gateway.QuarantineRead
	// revision is the latest revision of the list of upstreams.
	revision int64
	// prefilledParts holds the shared parts that any engine has prefilled.
	prefilledParts map[string]bool
	report         *Report
	oracle         *oracle
	routes         map[string]route.Route
	callers        []*caller
}

// caller is a request and its progress.
type caller struct {
	kind    Kind
	request gateway.Request
	team    string
	node    int
	// firstSubmitted is the time of the first submission.
	firstSubmitted time.Time
	// submitted is the time of the current submission.
	submitted time.Time
	retries   int
	// breaks is the number of attempts that broke.
	breaks int
	// attempt is the node's number of the current dispatch, runsOn its upstream.
	attempt int
	runsOn  *upstream
	// done is set once the caller is counted under an outcome.
	done bool
}

// Run simulates a pattern until no event is left, at most until 5 s after the
// timeout of a request that is first submitted at the pattern's end.
func Run(setup Setup, pattern Pattern) *Report {
	return newSimulation(setup, pattern).run()
}

func (s *simulation) run() *Report {
	s.scheduleArrivals()
	s.scheduleFaults()
	s.scheduleTicks()
	end := startTime.Add(s.pattern.Length + callerTimeout + 5*time.Second)
	for s.events.Len() > 0 && s.now.Before(end) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	s.report.Violations = s.oracle.end(s.callers)
	return s.report
}

func newSimulation(setup Setup, pattern Pattern) *simulation {
	s := &simulation{
		setup: setup, pattern: pattern, now: startTime,
		rng:              rand.New(rand.NewPCG(setup.Seed, 1)),
		byID:             make(map[string]*upstream),
		pending:          make(map[uint64]*caller),
		prefilledParts:   make(map[string]bool),
		storedQuarantine: gateway.QuarantineRead{Done: true},
		report: &Report{
			Kinds: make(map[string]*Tally), Teams: make(map[string]*Tally),
			Refusals: make(map[gateway.Reason]int),
			Seconds:  make([]Tally, int(pattern.Length/time.Second)),
		},
	}
	config := s.config()
	// The guarantees do not depend on the bounds that are set for the nodes.
	s.oracle = newOracle(defaultBounds, config.Teams)
	s.oracle.limit = limitOracle{limits: pattern.Limits, arrivals: make(map[string][]limitedArrival), named: make(map[string]map[int]time.Time)}
	s.oracle.crashing = crashingOracle{part: pattern.CrashingPart, begun: make(map[*caller]bool)}
	s.routes = make(map[string]route.Route)
	for _, r := range config.Routes {
		s.routes[r.Name] = r
	}
	for i := range setup.Engines {
		s.add(newEngine(fmt.Sprint("engine-", i), zone(i), setup.PrefillRate))
	}
	for i := range setup.PlainUpstreams {
		s.add(newPlain(fmt.Sprint("plain-", i), zone(i)))
	}
	s.startNodes(true)
	return s
}

func zone(i int) string { return fmt.Sprint("zone-", i%zoneCount) }

func (s *simulation) add(u *upstream) {
	s.upstreams = append(s.upstreams, u)
	s.byID[u.ID] = u
}

// startNodes starts all nodes without state.
func (s *simulation) startNodes(firstStart bool) {
	s.nodes = make([]*gateway.Gateway, s.setup.Nodes)
	for i := range s.nodes {
		s.nodes[i] = gateway.New(s.nodeConfig(i, firstStart), rand.New(rand.NewPCG(s.setup.Seed, uint64(100+i))))
	}
	var entries []gateway.NodeEntry
	for i := range s.nodes {
		entries = append(entries, gateway.NodeEntry{Node: nodeName(i), PeerAddress: nodeName(i)})
	}
	for i := range s.nodes {
		s.reduce(i, gateway.ConfigRead{Config: s.config(), Body: []byte("1"), Source: "store"})
		s.reduce(i, gateway.RolloutsChanged{})
		s.reduce(i, gateway.NodesListed{Nodes: entries})
		s.sendUpstreamList(i)
	}
}

func nodeName(i int) string { return fmt.Sprint("node-", i) }

func (s *simulation) nodeConfig(i int, firstStart bool) gateway.Config {
	return gateway.Config{
		Node: nodeName(i), Start: s.now.UnixNano(), Zone: zone(i),
		CallerAddress: nodeName(i), PeerAddress: nodeName(i), FirstStart: firstStart,
		Cost:   s.setup.Cost,
		Bounds: s.setup.Bounds,
	}
}

func (s *simulation) config() route.Config {
	c := route.Config{
		Version: 1,
		Services: []route.Service{
			{Name: plainService},
			{Name: modelService, Engine: &route.Engine{Slots: engineSlots, MemoryTokens: engineMemoryTokens}},
		},
	}
	for _, k := range s.pattern.Kinds {
		c.Routes = append(c.Routes, newRoute(k))
	}
	for i := range teamCount {
		name := fmt.Sprint("team-", i)
		c.Teams = append(c.Teams, route.Team{Name: name, Keys: []string{name}, Unit: route.UnitTokens, DefaultTokens: 200, Rate: s.setup.Quota, Burst: s.setup.Quota})
	}
	return c
}

func newRoute(k Kind) route.Route {
	r := route.Route{
		Name: k.Route, Host: "h", PathPrefix: "/" + k.Route + "/", Kind: route.KindStreaming,
		Timeout: callerTimeout, LatencyGoal: k.LatencyGoal, Attempts: 1, Priority: 1, Targets: []route.Target{{Service: modelService}},
	}
	switch {
	case k.SharedTokens == 0:
		r.Kind, r.Targets = route.KindUnsafe, []route.Target{{Service: plainService}}
	case k.Route == "ask":
		r.Resumable, r.Attempts, r.Priority = true, 2, 0
	case k.Route == "check":
		r.Priority = 2
	}
	return r
}

// sendUpstreamList sends a node the current list of upstreams.
func (s *simulation) sendUpstreamList(node int) {
	s.revision++
	var list []placement.Upstream
	for _, u := range s.upstreams {
		if !u.crashed {
			list = append(list, u.Upstream)
		}
	}
	s.reduce(node, gateway.UpstreamsListed{List: list, Revision: s.revision})
}

// scheduleTicks schedules the ticks of all nodes, spread evenly over the tick
// interval.
func (s *simulation) scheduleTicks() {
	for at := time.Duration(0); at < s.pattern.Length+callerTimeout; at += gateway.TickInterval {
		for i := range s.nodes {
			stagger := time.Duration(i) * gateway.TickInterval / time.Duration(len(s.nodes))
			s.at(startTime.Add(at+stagger), func() { s.reduce(i, gateway.Tick{}) })
		}
	}
}

// scheduleFaults schedules the restart of nodes and the crash of engines.
func (s *simulation) scheduleFaults() {
	if s.pattern.RestartAt > 0 {
		s.at(startTime.Add(s.pattern.RestartAt), s.restartNodes)
	}
	if s.pattern.CrashedEngines > 0 {
		s.at(startTime.Add(s.pattern.CrashAt), s.crashEngines)
	}
}

func (s *simulation) crashEngines() {
	for _, u := range s.upstreams[:s.pattern.CrashedEngines] {
		s.crash(u)
	}
	s.after(upstreamListDelay, s.sendUpstreamLists)
}

// crash ends all attempts at an upstream.
func (s *simulation) crash(u *upstream) {
	u.crashed = true
	var conns []uint64
	for conn, c := range s.pending {
		if c.runsOn == u {
			conns = append(conns, conn)
		}
	}
	slices.Sort(conns)
	for _, conn := range conns {
		c := s.pending[conn]
		ended := gateway.Ended{Result: gateway.ResultBroken}
		if c.done {
			ended.Framing = gateway.FramingChunks
		}
		s.after(crashDetectionDelay, func() { s.attemptEnded(conn, c, ended) })
	}
}

func (s *simulation) sendUpstreamLists() {
	for i := range s.nodes {
		s.sendUpstreamList(i)
	}
}

// pendingConns returns the connections of callers whose answer has not begun,
// in the order of their submission.
func (s *simulation) pendingConns() []uint64 {
	var list []uint64
	for conn, c := range s.pending {
		if !c.done {
			list = append(list, conn)
		}
	}
	slices.Sort(list)
	return list
}

// restartNodes restarts all nodes without state; callers whose answer has not
// begun submit their request again at once.
func (s *simulation) restartNodes() {
	s.startNodes(false)
	// A new process has not had any answer yet.
	clear(s.oracle.limit.named)
	for _, conn := range s.pendingConns() {
		c := s.pending[conn]
		delete(s.pending, conn)
		if c.runsOn != nil {
			c.runsOn.running--
			c.runsOn = nil
		}
		s.submit(c)
	}
}

// reduce passes an event to a node's reducer and executes the effects.
func (s *simulation) reduce(node int, e gateway.Event) {
	for _, effect := range s.nodes[node].Reduce(s.now, e) {
		s.execute(node, effect)
	}
}

func (s *simulation) execute(node int, e gateway.Effect) {
	switch e := e.(type) {
	case gateway.Dispatch:
		s.dispatch(node, e)
	case gateway.Refuse:
		s.handleRefusal(e)
	case gateway.Abort:
		s.handleAbort(e.Conn)
	case gateway.Send:
		s.send(node, e)
	case gateway.ReadQuarantine:
		s.answerStoreCall(node, s.storedQuarantine)
	case gateway.WriteQuarantine:
		s.storedQuarantine = gateway.QuarantineRead{Evidence: e.Evidence, At: e.At, Done: true}
		s.answerStoreCall(node, gateway.QuarantineWritten{Done: true})
	}
}

// answerStoreCall answers a node's call to the store.
func (s *simulation) answerStoreCall(node int, answer gateway.Event) {
	caller := s.nodes[node]
	s.after(storeLatency, func() {
		if s.nodes[node] == caller {
			s.reduce(node, answer)
		}
	})
}

func (s *simulation) send(from int, e gateway.Send) {
	var to int
	if _, err := fmt.Sscanf(e.Node, "node-%d", &to); err != nil {
		panic("emulator: message to unknown node " + e.Node)
	}
	target := s.nodes[to]
	if s.partitioned(from) != s.partitioned(to) {
		return
	}
	s.after(messageLatency, func() {
		if s.nodes[to] == target {
			s.reduce(to, gateway.PeerReceived{From: nodeName(from), Message: e.Message})
		}
	})
}

// partitioned reports whether a node is now partitioned from the others by the
// pattern.
func (s *simulation) partitioned(node int) bool {
	at := s.now.Sub(startTime)
	return node < s.pattern.PartitionedNodes && at >= s.pattern.PartitionAt && at < s.pattern.PartitionAt+s.pattern.PartitionDuration
}

// at schedules an event; events of the same time run in the order in which they
// were scheduled.
func (s *simulation) at(when time.Time, do func()) {
	s.sequence++
	heap.Push(&s.events, event{at: when, sequence: s.sequence, do: do})
}

func (s *simulation) after(d time.Duration, do func()) { s.at(s.now.Add(d), do) }

// event is a function to run at a time.
type event struct {
	at       time.Time
	sequence int
	do       func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds an event.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop removes the last event of the slice and returns it.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

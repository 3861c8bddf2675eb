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
	// Learning selects the services of which the nodes learn how much work each upstream takes.
	Learning placement.Learning
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
	// used holds when a node has last used a connection to an upstream.
	used map[nodeUpstream]time.Time
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
	// began is set once the answer to the current attempt has begun, silenced if the
	// upstream's bytes no longer reach the node.
	began, silenced bool
	// origin is set if the caller stands for a node that has passed its request on. relayedAs
	// is the connection at the node that this caller's request was passed on to, 0 if none.
	origin    *relayOrigin
	relayedAs uint64
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
		used:             make(map[nodeUpstream]time.Time),
		storedQuarantine: gateway.QuarantineRead{Done: true},
		report: &Report{
			Kinds: make(map[string]*Tally), Teams: make(map[string]*Tally),
			Refusals: make(map[gateway.Reason]int), RouteLatencies: make(map[string][]time.Duration),
			Seconds: make([]Tally, int(pattern.Length/time.Second)),
		},
	}
	config := s.config()
	// The guarantees do not depend on the bounds that are set for the nodes.
	s.oracle = newOracle(defaultBounds, config.Teams)
	s.oracle.limit = limitOracle{limits: pattern.Limits, arrivals: make(map[string][]limitedArrival), named: make(map[string]map[int]time.Time)}
	s.oracle.brittle = brittleOracle{upstreams: pattern.Brittle, rejected: make(map[string][]time.Time)}
	s.oracle.pause = pauseOracle{pauses: make(map[nodeUpstream][]*askedPause)}
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
	for _, u := range s.upstreams {
		if b := pattern.Brittle; b != nil && u.Service == b.Service {
			s.oracle.brittle.number++
		}
	}
	s.startNodes(true)
	return s
}

func zone(i int) string { return fmt.Sprint("zone-", i%zoneCount) }

func (s *simulation) add(u *upstream) {
	s.upstreams = append(s.upstreams, u)
	s.byID[u.ID] = u
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
	s.scheduleCut()
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

// runningConns returns the connections of callers whose attempts run at upstreams.
func (s *simulation) runningConns() []uint64 {
	var list []uint64
	for conn, c := range s.pending {
		if c.runsOn != nil {
			list = append(list, conn)
		}
	}
	slices.Sort(list)
	return list
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

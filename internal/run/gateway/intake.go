package gateway

import (
	"expvar"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/rs/zerolog"

	core "monsoonlanding/internal/core/gateway"
	"monsoonlanding/internal/core/memory"
	"monsoonlanding/internal/run/settings"
	"monsoonlanding/internal/wire/boundedtcp"
)

// What callers may take of the machine. The rest is for the node itself, its connections to peers,
// upstreams and the platform, and the garbage collector.
const (
	// intakeDivisor divides the machine's memory; the result is the budget for heads, bodies and
	// answers.
	intakeDivisor = 4
	// heapNumerator and heapDenominator are the fraction of the machine's memory at which the
	// garbage collector runs as often as it takes. Stacks of clients and the program are not in it.
	heapNumerator   = 5
	heapDenominator = 8
	// connMemoryDivisor divides the machine's memory, and connBytes is the memory of an idle
	// connection: the callers' connections take at most that part.
	connMemoryDivisor = 8
	connBytes         = 16 << 10
	// intakeLogInterval is the minimum interval between two log lines on clients that were turned away.
	intakeLogInterval = time.Second
)

// descriptorShares are the parts of the machine's descriptors for the connections to each listener, in
// 32nds and in the order of Runner.servers. A quarter is left for connections that the node opens.
var descriptorShares = [...]int{callerServerIndex: 12, 1: 2, 2: 1, peerServerIndex: 8, 4: 1}

const descriptorShareUnit = 32

// Labels of the requests that are turned away before they are known to the reducer, beside those of
// boundedtcp.
const (
	intakeBodyMemory = "body_memory"
	intakeSlowBody   = "slow_body"
)

// intakeCounts counts what was turned away, by cause.
var intakeCounts = newIntakeCounts()

func newIntakeCounts() *expvar.Map {
	m := expvar.NewMap("gateway_turned_away")
	for _, cause := range boundedtcp.Causes() {
		m.Add(string(cause), 0)
	}
	m.Add(intakeBodyMemory, 0)
	m.Add(intakeSlowBody, 0)
	return m
}

// intake bounds what callers may take of the machine.
type intake struct {
	heapLimit   int64
	budget      *memory.Budget
	descriptors int
	maxCallers  int
	log         zerolog.Logger

	// mu guards the fields below.
	mu sync.Mutex
	// counted holds what was turned away since the last log line, by cause.
	counted  map[string]int
	loggedAt time.Time
}

func newIntake(m settings.GatewayMachine, log zerolog.Logger) *intake {
	if m == (settings.GatewayMachine{}) {
		m = settings.DefaultMachine()
	}
	return &intake{
		heapLimit:   m.Memory.Bytes / heapDenominator * heapNumerator,
		budget:      memory.New(m.Memory.Bytes / intakeDivisor),
		descriptors: m.Descriptors,
		maxCallers:  int(m.Memory.Bytes / connMemoryDivisor / connBytes),
		log:         log,
		counted:     make(map[string]int),
	}
}

// limitHeap lets the garbage collector keep the heap within the machine's memory.
func (i *intake) limitHeap() { debug.SetMemoryLimit(i.heapLimit) }

// turnAway counts a connection or a request that is turned away, and logs at most one line
// every intakeLogInterval.
func (i *intake) turnAway(now time.Time, cause string) {
	intakeCounts.Add(cause, 1)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.counted[cause]++
	if now.Sub(i.loggedAt) < intakeLogInterval {
		return
	}
	i.loggedAt = now
	i.log.Warn().Str("step", "intake").Interface("counts", i.counted).Interface("taken", i.budget.Taken()).
		Int64("budget", i.budget.Total()).Msg("clients turned away")
	clear(i.counted)
}

// bound returns a listener that bounds the connections of a server, by its place in Runner.servers.
func (r *Runner) bound(l net.Listener, server int) net.Listener {
	maxConns := r.intake.descriptors * descriptorShares[server] / descriptorShareUnit
	if server == callerServerIndex {
		maxConns = min(maxConns, r.intake.maxCallers)
	}
	return boundedtcp.New(l, boundedtcp.Config{
		MaxConns:     max(maxConns, 1),
		Heads:        r.intake.budget,
		MaxHeadBytes: r.headLimit,
		OnClose:      func(cause boundedtcp.Cause) { r.intake.turnAway(r.cfg.Clock.Now(), string(cause)) },
	})
}

// headLimit returns the limit of a request's head.
func (r *Runner) headLimit() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if limit := r.core.Limits().HeaderBytes; limit > 0 {
		return min(limit, maxHeaderBytes)
	}
	return maxHeaderBytes
}

// boundServer sets what a server needs on bounded connections.
func boundServer(s *http.Server) {
	s.ConnContext = boundedtcp.WithConn
	s.ConnState = boundedtcp.ConnState
	s.ReadHeaderTimeout = headerTimeout
	s.IdleTimeout = idleTimeout
	s.MaxHeaderBytes = maxHeaderBytes
}

// plainServer returns a server whose handler reads no body.
func plainServer(h http.Handler) *http.Server {
	s := &http.Server{Handler: withoutBody(h)}
	boundServer(s)
	return s
}

// withoutBody wraps a handler that reads no body, so that a client which sends none, or never ends
// it, holds nothing.
func withoutBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := boundedtcp.ConnOf(r.Context())
		conn.HeadRead(r.Header)
		conn.RequestRead()
		if r.ContentLength != 0 {
			boundedtcp.AbandonBody(http.NewResponseController(w))
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// checkHead returns the reason to refuse a request by its head alone, empty if there is none.
func (r *Runner) checkHead(request core.Request) core.Reason {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.CheckHead(request)
}

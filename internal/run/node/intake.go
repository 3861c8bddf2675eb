package node

import (
	"expvar"
	"net"
	"net/http"

	"monsoonlanding/internal/core/memory"
	"monsoonlanding/internal/run/settings"
	"monsoonlanding/internal/wire/boundedtcp"
)

const (
	// intakeDivisor divides the memory for requests; the result is the budget for heads and for bodies
	// that are being read.
	intakeDivisor = 4
	// otherConnsDivisor divides the callers' connections; the result bounds those of peers and of
	// operators.
	otherConnsDivisor = 4
	// maxHeadBytes bounds the head of a request.
	maxHeadBytes = 16 << 10
	// maxReadBytes bounds a body, as its handler does.
	maxReadBytes = 4 << 20
)

// turnedAway counts the connections that were closed for lack of room, by cause.
var turnedAway = newTurnedAway()

func newTurnedAway() *expvar.Map {
	m := expvar.NewMap("turned_away")
	for _, cause := range boundedtcp.Causes() {
		m.Add(string(cause), 0)
	}
	return m
}

// intake bounds what clients may take of the machine.
type intake struct {
	budget *memory.Budget
	conns  int
}

func newIntake(l settings.Limits) intake {
	conns := l.Connections
	if conns <= 0 {
		conns = settings.DefaultConnections
	}
	return intake{budget: memory.New(int64(l.MemoryBytes / intakeDivisor)), conns: conns}
}

// bound returns a listener with at most the given number of connections.
func (i intake) bound(l net.Listener, conns int) net.Listener {
	return boundedtcp.New(l, boundedtcp.Config{
		MaxConns:     max(conns, 1),
		Heads:        i.budget,
		MaxHeadBytes: func() int { return maxHeadBytes },
		OnClose:      func(cause boundedtcp.Cause) { turnedAway.Add(string(cause), 1) },
	})
}

// serve bounds the requests of a server.
func (i intake) serve(s *http.Server) *http.Server {
	s.Handler = boundedtcp.Handler(s.Handler, i.budget, maxReadBytes)
	s.ConnContext = boundedtcp.WithConn
	s.ConnState = boundedtcp.ConnState
	s.MaxHeaderBytes = maxHeadBytes
	return s
}

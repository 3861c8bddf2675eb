package emulator

import (
	"time"

	"monsoonlanding/internal/core/gateway"
)

// UpstreamCut partitions nodes from all upstreams, while callers and the other nodes still
// reach them.
type UpstreamCut struct {
	// Nodes selects the nodes.
	Nodes    func(node int) bool
	From, To time.Duration
	Mode     CutMode
}

// CutMode is what happens to the connections of nodes that are cut off.
type CutMode string

// Modes of cuts.
const (
	// CutHangs: open connections are silent until they time out, and so are connects.
	CutHangs CutMode = "hangs"
	// CutResets: open connections are reset, and connects are refused.
	CutResets CutMode = "resets"
	// CutRefusesNew: open connections live on, and connects time out.
	CutRefusesNew CutMode = "refuses new"
)

const (
	// connectTimeout is the time until a connect to a silent upstream fails, ackTimeout that
	// until a connection fails whose bytes are not acknowledged.
	connectTimeout = 500 * time.Millisecond
	ackTimeout     = 2 * time.Second
	// idleRetention is the time for which a node keeps an idle connection to an upstream.
	idleRetention = 2 * time.Second
	// cutSettled is the time from the begin of a cut after which callers of the nodes that
	// are cut off are to be served about as well as those of the others.
	cutSettled = 3 * time.Second
)

// CutReport counts the first submissions during a cut, from cutSettled after its begin on, and
// those of them that were served at the first attempt.
type CutReport struct {
	// Cut is for the nodes that are cut off, Others for the other ones.
	Cut, Others FirstTries
}

// FirstTries counts callers' first submissions.
type FirstTries struct{ Sent, Served int }

// isCut reports whether a node is partitioned from the upstreams now.
func (s *simulation) isCut(node int) bool {
	at := s.now.Sub(startTime)
	cut := s.pattern.UpstreamCut
	return cut != nil && at >= cut.From && at < cut.To && cut.Nodes(node)
}

// scheduleCut schedules the end of the connections that a cut breaks at its begin.
func (s *simulation) scheduleCut() {
	cut := s.pattern.UpstreamCut
	if cut == nil || cut.Mode == CutRefusesNew {
		return
	}
	after := ackTimeout
	if cut.Mode == CutResets {
		after = 0
	}
	s.at(startTime.Add(cut.From), func() {
		for _, conn := range s.runningConns() {
			c := s.pending[conn]
			if !cut.Nodes(c.node) {
				continue
			}
			u, attempt := c.runsOn, c.attempt
			c.silenced = true
			s.after(after, func() {
				if s.pending[conn] == c && c.runsOn == u && c.attempt == attempt {
					s.attemptEnded(conn, c, gateway.Ended{Result: gateway.ResultBroken, Framing: c.framing()})
				}
			})
		}
	})
}

// framing returns the framing of the answer that has begun, empty if none has.
func (c *caller) framing() gateway.Framing {
	if c.began {
		return gateway.FramingChunks
	}
	return ""
}

// reusesConnection reports whether an attempt goes over a connection that is open: one was
// used shortly before.
func (s *simulation) reusesConnection(node int, upstream string) bool {
	key := nodeUpstream{node, upstream}
	used, ok := s.used[key]
	s.used[key] = s.now
	return ok && s.now.Sub(used) < idleRetention && s.rng.IntN(2) == 0
}

type nodeUpstream struct {
	node     int
	upstream string
}

// connect returns what becomes of the connection of an attempt. If the node is cut off and the
// attempt does not reach its upstream, it schedules the attempt's end.
func (s *simulation) connect(node int, d gateway.Dispatch, c *caller) (connect gateway.Connect, reaches bool) {
	reused := s.reusesConnection(node, d.Upstream.ID)
	connect = gateway.ConnectOpened
	if reused {
		connect = gateway.ConnectReused
	}
	if !s.isCut(node) || reused && s.pattern.UpstreamCut.Mode == CutRefusesNew {
		return connect, true
	}
	ended, after := gateway.Ended{Result: gateway.ResultUnreachable, Connect: gateway.ConnectFailed}, connectTimeout
	switch {
	case s.pattern.UpstreamCut.Mode == CutResets:
		after = messageLatency
	case reused:
		ended, after = gateway.Ended{Result: gateway.ResultBroken}, ackTimeout
	}
	attempt := d.Attempt
	s.after(after, func() {
		if s.pending[d.Conn] == c && c.attempt == attempt {
			s.attemptEnded(d.Conn, c, ended)
		}
	})
	return connect, false
}

// probe answers a node's probe of an upstream.
func (s *simulation) probe(node int, e gateway.ProbeUpstream) {
	prober := s.nodes[node]
	connected, after := !s.byID[e.Upstream.ID].crashed, 2*messageLatency
	if s.isCut(node) {
		connected = false
		if s.pattern.UpstreamCut.Mode != CutResets {
			after = connectTimeout
		}
	}
	s.after(after, func() {
		if s.nodes[node] == prober {
			s.reduce(node, gateway.UpstreamProbed{Upstream: e.Upstream.ID, Connected: connected})
		}
	})
}

// firstTries returns the count for a caller's first submission, nil if it does not count.
func (s *simulation) firstTries(c *caller) *FirstTries {
	cut := s.pattern.UpstreamCut
	if cut == nil {
		return nil
	}
	at := c.firstSubmitted.Sub(startTime)
	switch {
	case at < cut.From+cutSettled || at >= cut.To:
		return nil
	case cut.Nodes(c.node):
		return &s.report.Cut.Cut
	default:
		return &s.report.Cut.Others
	}
}

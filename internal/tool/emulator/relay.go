package emulator

import (
	"fmt"

	"monsoonlanding/internal/core/gateway"
)

// relayOrigin is the submission that a node has passed on to another one.
type relayOrigin struct {
	caller  *caller
	conn    uint64
	attempt int
}

// relay passes a request on to another node, where a caller of its own stands for the node
// that it comes from.
func (s *simulation) relay(d gateway.Dispatch) {
	c := s.pending[d.Conn]
	c.attempt, c.began, c.silenced = d.Attempt, false, false
	var node int
	if _, err := fmt.Sscanf(d.Relay.Node, "node-%d", &node); err != nil {
		panic("emulator: request passed on to unknown node " + d.Relay.Node)
	}
	s.lastConn++
	conn := s.lastConn
	relayed := &caller{
		kind: c.kind, request: c.request, team: c.team, node: node, firstSubmitted: c.firstSubmitted, submitted: s.now,
		origin: &relayOrigin{caller: c, conn: d.Conn, attempt: d.Attempt},
	}
	c.relayedAs = conn
	s.after(messageLatency, func() {
		if s.pending[d.Conn] != c || c.relayedAs != conn {
			return
		}
		s.pending[conn] = relayed
		s.reduce(node, gateway.Arrived{
			Conn: conn, Request: relayed.request,
			Relayed: &gateway.Relayed{From: nodeName(c.node), Attempts: d.Relay.Attempts},
		})
	})
}

// relayBegan tells the node that has passed a request on that its answer begins.
func (s *simulation) relayBegan(o *relayOrigin) {
	s.after(messageLatency, func() {
		if s.pending[o.conn] != o.caller || o.caller.attempt != o.attempt {
			return
		}
		s.answerBegan(o.caller)
		s.reduce(o.caller.node, gateway.Began{Conn: o.conn, Attempt: o.attempt})
	})
}

// relayEnded tells the node that has passed a request on that it has ended at the other one.
func (s *simulation) relayEnded(o *relayOrigin, ended gateway.Ended) {
	s.after(messageLatency, func() {
		if s.pending[o.conn] == o.caller && o.caller.attempt == o.attempt {
			s.attemptEnded(o.conn, o.caller, ended)
		}
	})
}

// relayRefused tells it that the other node refuses the request.
func (s *simulation) relayRefused(o *relayOrigin, e gateway.Refuse) {
	ended := gateway.Ended{Result: gateway.ResultRelayRefused, RetryAfter: e.RetryAfter}
	if e.Reason == gateway.ReasonFailed || e.Reason == gateway.ReasonDeadlineExceeded {
		ended.Result = gateway.ResultBroken
	}
	s.relayEnded(o, ended)
}

// cancelRelay ends a request at the node that it was passed on to, since its caller has left.
func (s *simulation) cancelRelay(c *caller) {
	relayed := s.pending[c.relayedAs]
	if c.relayedAs == 0 || relayed == nil {
		return
	}
	conn := c.relayedAs
	c.relayedAs = 0
	delete(s.pending, conn)
	if relayed.runsOn != nil {
		relayed.runsOn.running--
		relayed.runsOn = nil
	}
	s.reduce(relayed.node, gateway.HandlerEnded{Conn: conn, Disconnected: true})
}

package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/placement"
)

// leavingBench has a plain and an engine upstream that have said that they leave, d1 and
// m1, and one of each that stays, d2 and m2. The store lists all of them as ready.
func leavingBench(t *testing.T) *bench {
	b := newBench(t, "a")
	config := testConfig(1)
	config.Services[1].Engine.CanCopyCache = true
	config.Teams[0].Rate = 0
	b.reduce(ConfigRead{Config: config, Body: []byte("1"), Source: "store"})
	b.reduce(RolloutsChanged{})
	b.list(up("d1", "desk"), up("m1", "model"))
	b.announceLeave("/book/1")
	b.announceLeave("/plan/1")
	b.list(up("d1", "desk"), up("d2", "desk"), up("m1", "model"), up("m2", "model"))
	return b
}

// announceLeave sends a request to a path, whose answer says that its upstream leaves.
func (b *bench) announceLeave(path string) {
	b.Helper()
	conn, effects := b.arrive(path)
	d := b.dispatch(effects)
	b.reduce(Began{Conn: conn, Attempt: d.Attempt, Signals: Signals{Leaving: true}})
	b.reduce(Ended{Conn: conn, Attempt: d.Attempt, Result: ResultComplete, Framing: FramingLength, Signals: Signals{Leaving: true}})
}

// sentTo returns how often each upstream gets a request, by Dispatch or as the target of
// a Move.
func sentTo(effects []Effect) map[string]int {
	sent := make(map[string]int)
	for _, e := range effects {
		switch e := e.(type) {
		case Dispatch:
			sent[e.Upstream.ID]++
		case Move:
			sent[e.Target.ID]++
		}
	}
	return sent
}

// TestLeavingUpstreamGetsNoRequest: an upstream that says in an answer that it leaves got
// requests until the store listed it as draining, which some never report. One row for
// each way to an upstream.
func TestLeavingUpstreamGetsNoRequest(t *testing.T) {
	for _, row := range waysToUpstreams() {
		t.Run(row.name, func(t *testing.T) {
			b := leavingBench(t)
			for range 8 {
				sent := sentTo(row.send(b))
				b.Check(sent["d1"]+sent["m1"], qt.Equals, 0, qt.Commentf("%v", sent))
			}
		})
	}
}

// endFirstAttempt submits a request, ends its first attempt, and returns the effects of
// both.
func (b *bench) endFirstAttempt(path string, e Ended) []Effect {
	b.Helper()
	conn, effects := b.arrive(path)
	d := b.dispatch(effects)
	if e.AnswerSent {
		b.reduce(Began{Conn: conn, Attempt: d.Attempt})
	}
	e.Conn, e.Attempt = conn, d.Attempt
	return append(effects, b.reduce(e)...)
}

// TestLeaveIsAnnouncedByAnyAnswer: an upstream says that it leaves in all its answers,
// refusals and errors included. What another upstream at its address says is not about it.
func TestLeaveIsAnnouncedByAnyAnswer(t *testing.T) {
	for _, row := range []struct {
		ended   Ended
		leaving bool
	}{
		{Ended{Result: ResultFull, Framing: FramingLength, Signals: Signals{Leaving: true}}, true},
		{Ended{Result: ResultRefused, Framing: FramingLength, Signals: Signals{Leaving: true}}, true},
		{Ended{Result: ResultErrored, Framing: FramingLength, Signals: Signals{Leaving: true}}, true},
		{Ended{Result: ResultMalformed, Framing: FramingClose, Signals: Signals{Leaving: true}}, true},
		{Ended{Result: ResultMisdirected, Framing: FramingLength, Signals: Signals{Leaving: true}}, false},
		{Ended{Result: ResultFull, Framing: FramingLength}, false},
	} {
		t.Run(string(row.ended.Result), func(t *testing.T) {
			b := newBench(t, "a")
			b.ready(up("d1", "desk"))
			b.endFirstAttempt("/book/1", row.ended)
			b.wait(5 * time.Second)
			_, effects := b.arrive("/book/1")
			b.Assert(refusal(effects) == ReasonNoUpstream, qt.Equals, row.leaving)
		})
	}
}

// TestLeaveIsLearnedFromPeers: a node that has had no answer from a leaving upstream
// learns of it from the statuses of one that has.
func TestLeaveIsLearnedFromPeers(t *testing.T) {
	a, b := newBench(t, "a"), newBench(t, "b")
	for _, n := range []*bench{a, b} {
		n.ready(up("d1", "desk"))
	}
	a.receive(status("b"))
	a.announceLeave("/book/1")
	b.Assert(b.receiveStatus(a.wait(time.Second), "b"), qt.IsTrue)
	_, effects := b.arrive("/book/1")
	b.Assert(refusal(effects), qt.Equals, ReasonNoUpstream)
}

// receiveStatus delivers the statuses to a node among the effects of another one.
func (b *bench) receiveStatus(effects []Effect, node string) (received bool) {
	for _, e := range effects {
		send, ok := e.(Send)
		if s, isStatus := send.Message.(peer.Status); ok && isStatus && send.Node == node {
			b.receive(s)
			received = true
		}
	}
	return received
}

// TestLeaveEndsWithTheProcess: neither the store's entry, which may say that the upstream
// is ready, nor another answer takes a leave back. A new process under the same ID has not
// announced any.
func TestLeaveEndsWithTheProcess(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("d1", "desk"))
	running, effects := b.arrive("/book/1")
	d := b.dispatch(effects)
	b.announceLeave("/book/1")
	// This answer was sent before the leave and was overtaken.
	b.reduce(Began{Conn: running, Attempt: d.Attempt})
	b.reduce(Ended{Conn: running, Attempt: d.Attempt, Result: ResultComplete, Framing: FramingLength})
	b.list(up("d1", "desk"))
	b.reduce(UpstreamsChanged{Put: []placement.Upstream{up("d1", "desk")}, Revision: b.revision})
	_, effects = b.arrive("/book/1")
	b.Assert(refusal(effects), qt.Equals, ReasonNoUpstream)

	next := up("d1", "desk")
	next.StartedAt = b.now
	b.list(next)
	_, effects = b.arrive("/book/1")
	b.Assert(b.dispatch(effects).Upstream.ID, qt.Equals, "d1")
}

// TestStreamsLeaveWithTheirEngine: streams that run at an engine that says that it leaves
// are moved as if the store had listed it as draining.
func TestStreamsLeaveWithTheirEngine(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("m1", "model"))
	conn, _ := b.streaming("/plan/1", 5000)
	b.list(up("m1", "model"), up("m2", "model"))
	_, effects := b.submit(Request{Path: "/plan/2", Key: "k", Prompt: placement.Prompt{InputTokens: 100, MaxOutputTokens: 10}})
	d := b.dispatch(effects)
	for d.Upstream.ID != "m1" {
		_, effects = b.submit(Request{Path: "/plan/2", Key: "k", Prompt: placement.Prompt{InputTokens: 100, MaxOutputTokens: 10}})
		d = b.dispatch(effects)
	}
	m, ok := findMove(b.reduce(Began{Conn: d.Conn, Attempt: d.Attempt, Signals: Signals{Leaving: true}}))
	b.Assert(ok, qt.IsTrue)
	b.Assert(m.Conn, qt.Equals, conn)
	b.Assert(m.Target.ID, qt.Equals, "m2")
}

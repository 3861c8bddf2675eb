package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/placement"
	"monsoonlanding/internal/core/quarantine"
)

func TestRefusedBeforeConfigurationIsRead(t *testing.T) {
	b := newBench(t, "a")
	_, effects := b.arrive("/book/1")
	b.Assert(refusal(effects), qt.Equals, ReasonNoConfig)
}

func TestRoutesAndKeys(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("d1", "desk"))
	_, effects := b.arrive("/nowhere/")
	b.Assert(refusal(effects), qt.Equals, ReasonNoRoute)
	_, effects = b.submit(Request{Path: "/book/1", Key: "wrong"})
	b.Assert(refusal(effects), qt.Equals, ReasonBadKey)
	_, effects = b.submit(Request{Path: "/book/open/1"})
	b.Assert(b.dispatch(effects).Team, qt.Equals, "")
	_, effects = b.arrive("/book/1")
	b.Assert(b.dispatch(effects).Team, qt.Equals, "blue")
}

func TestUnsafeRunsOnce(t *testing.T) {
	for _, result := range []Result{ResultBroken, ResultMalformed} {
		b := newBench(t, "a")
		b.ready(up("d1", "desk"), up("d2", "desk"))
		conn, effects := b.arrive("/book/1")
		d := b.dispatch(effects)
		effects = b.reduce(Ended{Conn: conn, Attempt: d.Attempt, Result: result})
		b.Assert(has(Dispatch{}, effects), qt.IsFalse)
		b.Assert(refusal(effects), qt.Equals, ReasonFailed)
	}
}

func TestUnsafeIsRetriedIfItDidNotRun(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("d1", "desk"), up("d2", "desk"))
	conn, effects := b.arrive("/book/1")
	first := b.dispatch(effects)
	second := b.dispatch(b.reduce(Ended{Conn: conn, Attempt: first.Attempt, Result: ResultFull}))
	b.Assert(second.Upstream.ID, qt.Not(qt.Equals), first.Upstream.ID)
	// The first attempt did not run, but the second may have: the refusal must
	// not claim that the request did not run.
	effects = b.reduce(Ended{Conn: conn, Attempt: second.Attempt, Result: ResultBroken})
	b.Assert(refusal(effects), qt.Equals, ReasonFailed)
}

func TestSafeErrorIsRetriedThenRelayed(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("d1", "desk"), up("d2", "desk"))
	conn, effects := b.arrive("/read/1")
	first := b.dispatch(effects)
	second := b.dispatch(b.reduce(Ended{Conn: conn, Attempt: first.Attempt, Result: ResultErrored}))
	b.Assert(second.Upstream.ID, qt.Not(qt.Equals), first.Upstream.ID)
	effects = b.reduce(Ended{Conn: conn, Attempt: second.Attempt, Result: ResultErrored})
	b.Assert(has(RelayError{}, effects), qt.IsTrue)
}

func TestStreamContinuesOnlyIfResumable(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("m1", "model"), up("m2", "model"))
	conn, effects := b.arrive("/plan/1")
	d := b.dispatch(effects)
	b.reduce(Began{Conn: conn, Attempt: d.Attempt})
	effects = b.reduce(Ended{Conn: conn, Attempt: d.Attempt, Result: ResultBroken, AnswerSent: true})
	b.Assert(refusal(effects), qt.Equals, "cut "+ReasonFailed)

	conn, effects = b.arrive("/ask/1")
	d = b.dispatch(effects)
	b.reduce(Began{Conn: conn, Attempt: d.Attempt})
	second := b.dispatch(b.reduce(Ended{Conn: conn, Attempt: d.Attempt, Result: ResultBroken, AnswerSent: true}))
	b.Assert(second.Upstream.ID, qt.Not(qt.Equals), d.Upstream.ID)
	effects = b.reduce(Ended{Conn: conn, Attempt: second.Attempt, Result: ResultBroken, AnswerSent: true})
	b.Assert(refusal(effects), qt.Equals, "cut "+ReasonFailed)
}

func TestResumedStreamIsNeverRefused(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("m1", "model"))
	conn, effects := b.arrive("/ask/1")
	d := b.dispatch(effects)
	b.reduce(Began{Conn: conn, Attempt: d.Attempt})
	b.list()
	effects = b.reduce(Ended{Conn: conn, Attempt: d.Attempt, Result: ResultBroken, AnswerSent: true})
	b.Assert(string(refusal(effects)), qt.Matches, "cut .*")
}

func TestExpiry(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("d1", "desk"))
	conn, effects := b.arrive("/book/1")
	b.Assert(b.dispatch(effects).Deadline, qt.Equals, b.now.Add(800*time.Millisecond))
	b.Assert(refusal(b.reduce(Expired{Conn: conn})), qt.Equals, ReasonDeadlineExceeded)
}

func TestCallerTimeoutShortensTheDeadline(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("d1", "desk"))
	_, effects := b.submit(Request{Path: "/book/1", Key: "k", CallerTimeout: 300 * time.Millisecond})
	b.Assert(b.dispatch(effects).Deadline, qt.Equals, b.now.Add(300*time.Millisecond))
}

// TestWaitingRequestIsRefusedInTime fills the only upstream. A waiting request
// is refused after half its latency goal, not at its deadline, with a delay after
// which to retry.
func TestWaitingRequestIsRefusedInTime(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("d1", "desk"))
	for range 12 {
		_, effects := b.arrive("/book/1")
		b.dispatch(effects)
	}
	_, effects := b.arrive("/book/1")
	b.Assert(has(Dispatch{}, effects), qt.IsFalse)
	b.Assert(refusal(effects), qt.Equals, Reason(""))
	effects = b.wait(100 * time.Millisecond)
	b.Assert(refusal(effects), qt.Equals, ReasonOverload)
	for _, e := range effects {
		if r, ok := e.(Refuse); ok {
			b.Assert(r.RetryAfter > 0, qt.IsTrue)
		}
	}
}

func TestRefusedAtOnceWithoutUpstreams(t *testing.T) {
	b := newBench(t, "a")
	b.ready()
	_, effects := b.arrive("/book/1")
	b.Assert(refusal(effects), qt.Equals, ReasonNoUpstream)
}

// TestRetriesAreBounded: during an outage of all upstreams every attempt is
// refused without running, and the retries stay within this node's part of the
// budget.
func TestRetriesAreBounded(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("d1", "desk"), up("d2", "desk"), up("d3", "desk"))
	b.receive(status("b"))
	retries := 0
	for range 200 {
		b.now = b.now.Add(20 * time.Millisecond)
		conn, effects := b.arrive("/read/1")
		for has(Dispatch{}, effects) {
			d := b.dispatch(effects)
			if d.Attempt > 1 {
				retries++
			}
			effects = b.reduce(Ended{Conn: conn, Attempt: d.Attempt, Result: ResultRefused})
		}
	}
	b.Assert(retries > 0, qt.IsTrue)
	b.Assert(float64(retries) <= 0.2*200+54.0/2, qt.IsTrue, qt.Commentf("%d retries", retries))
}

// TestSuspectIsRefused: content that crashed two upstreams, at any nodes, is
// not dispatched to a third.
func TestSuspectIsRefused(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("m1", "model"), up("m2", "model"))
	conn, effects := b.submit(Request{Path: "/plan/1", Key: "k", Fingerprint: 77})
	b.reduce(Ended{Conn: conn, Attempt: b.dispatch(effects).Attempt, Result: ResultBroken})
	s := status("b")
	s.Quarantine.Evidence = []quarantine.Evidence{{Trait: quarantine.Traits(nil, 77)[0], Crashes: []quarantine.Crash{{ID: 9}}}}
	b.receive(s)
	_, effects = b.submit(Request{Path: "/plan/1", Key: "k", Fingerprint: 77})
	b.Assert(refusal(effects), qt.Equals, ReasonSuspect)
	_, effects = b.submit(Request{Path: "/plan/1", Key: "k", Fingerprint: 78})
	b.Assert(has(Dispatch{}, effects), qt.IsTrue)
}

func TestDisconnectedCallerFreesTheUpstream(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("d1", "desk"))
	conn, _ := b.arrive("/book/1")
	b.Assert(b.g.upstreams.OwnLoads()["d1"].Running, qt.Equals, 1)
	b.reduce(HandlerEnded{Conn: conn, Disconnected: true})
	b.Assert(b.g.upstreams.OwnLoads()["d1"].Running, qt.Equals, 0)
	b.Assert(b.g.requests, qt.HasLen, 0)
}

func TestUrgencyFollowsTheRank(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("m1", "model"))
	_, effects := b.arrive("/ask/1")
	b.Assert(b.dispatch(effects).Urgency, qt.Equals, 0)
	_, effects = b.arrive("/plan/1")
	b.Assert(b.dispatch(effects).Urgency, qt.Equals, 1)
}

// TestQueueServesUrgentRequestsFirst fills an engine so that its backlog admits
// no more, queues a less and a more urgent request, and frees the engine.
func TestQueueServesUrgentRequestsFirst(t *testing.T) {
	queueServesUrgentRequestsFirst(newBench(t, "a"), false)
}

// TestRouteRanksWithinATeam: a team's priority takes precedence over the
// routes', which still rank the team's own requests.
func TestRouteRanksWithinATeam(t *testing.T) {
	queueServesUrgentRequestsFirst(newBench(t, "a"), true)
}

func queueServesUrgentRequestsFirst(b *bench, hasPriority bool) {
	b.ready(up("m1", "model"))
	b.g.table.Teams()[0].HasPriority = hasPriority
	long := placement.Prompt{InputTokens: 60_000, MaxOutputTokens: 10}
	b.g.table.Teams()[0].Rate = 0
	first, effects := b.submit(Request{Path: "/plan/1", Key: "k", Prompt: long})
	d := b.dispatch(effects)
	_, effects = b.submit(Request{Path: "/plan/1", Key: "k", Prompt: long})
	b.Assert(has(Dispatch{}, effects), qt.IsFalse)
	urgent, effects := b.submit(Request{Path: "/ask/1", Key: "k", Prompt: placement.Prompt{InputTokens: 100, MaxOutputTokens: 10}})
	b.Assert(has(Dispatch{}, effects), qt.IsFalse)
	effects = b.reduce(Began{Conn: first, Attempt: d.Attempt})
	b.Assert(b.dispatch(effects).Conn, qt.Equals, urgent)
}

// TestIdleConnectionsOfAllNodes: the idle connections of all nodes to an upstream
// leave its slots free; a node that is known but silent may hold some, too.
func TestIdleConnectionsOfAllNodes(t *testing.T) {
	b := newBench(t, "a")
	config := testConfig(1)
	config.Services[0].MaxConnections = 96
	b.reduce(ConfigRead{Config: config, Body: []byte("1"), Source: "store"})
	b.reduce(RolloutsChanged{})
	b.list(up("d1", "desk"))
	_, effects := b.arrive("/book/1")
	b.Assert(b.dispatch(effects).MaxIdleConns, qt.Equals, 90)
	b.receive(status("b"))
	b.reduce(NodesListed{Nodes: []NodeEntry{{Node: "a"}, {Node: "b"}, {Node: "silent"}}})
	_, effects = b.arrive("/book/1")
	b.Assert(b.dispatch(effects).MaxIdleConns, qt.Equals, 30)
}

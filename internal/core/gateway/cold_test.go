package gateway

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/placement"
	"monsoonlanding/internal/core/route"
)

// coldBench has services whose cold upstreams are limited, and the upstreams given.
func coldBench(t *testing.T, upstreams ...placement.Upstream) *bench {
	b := newBench(t, "a")
	b.g.cfg.Bounds.ColdOver, b.g.cfg.Bounds.ColdSlack = 1.5, 5
	b.reduce(ConfigRead{Config: coldConfig(), Body: []byte("1"), Source: "store"})
	b.reduce(RolloutsChanged{})
	b.list(upstreams...)
	return b
}

// listNodes lets the node read a list of nodes.
func (b *bench) listNodes(nodes ...string) []Effect {
	var entries []NodeEntry
	for _, node := range nodes {
		entries = append(entries, NodeEntry{Node: node, PeerAddress: node + ":2"})
	}
	return b.reduce(NodesListed{Nodes: entries})
}

// coldFor returns an upstream that stays cold for a time.
func coldFor(left time.Duration, id, service string) placement.Upstream {
	u := up(id, service)
	u.ColdLeft = left
	return u
}

// logged returns the messages of a step among the effects.
func logged(step string, effects []Effect) (messages []string) {
	for _, e := range effects {
		if l, ok := e.(Log); ok && l.Step == step {
			messages = append(messages, l.Message)
		}
	}
	return messages
}

// TestColdUpstreamGetsNoRequest of a node without a share, by any way: a single way that forgets
// the limit is enough to crash an upstream again. One row for each way to an upstream.
func TestColdUpstreamGetsNoRequest(t *testing.T) {
	const left = 3 * time.Second
	for _, row := range waysToUpstreams() {
		t.Run(row.name, func(t *testing.T) {
			b := coldBench(t, up("d1", "desk"), up("d2", "desk"), up("m1", "model"), up("m2", "model"))
			b.g.table.Teams()[0].Rate = 0
			b.receive(status("b"))
			b.wait(time.Second)
			for _, u := range []placement.Upstream{up("d1", "desk"), up("m1", "model")} {
				b.g.mergeCold(peer.Status{Node: "b", Cold: []peer.ColdUpstream{{Process: processID(u), Left: left}}})
			}
			for end := b.now.Add(left - TickInterval); b.now.Before(end); {
				reached := reachedBy(append(row.send(b), b.wait(TickInterval)...))
				b.Assert(reached["d1"]+reached["m1"], qt.Equals, 0, qt.Commentf("%v before its end: %v", end.Sub(b.now), reached))
				b.endRunning(ResultComplete)
			}
		})
	}
}

// TestStoppedRunWaitsForRoom: a move had stopped a run, and the copy's engine has become cold
// meanwhile. The run goes on there when it may, not at once.
func TestStoppedRunWaitsForRoom(t *testing.T) {
	b := coldBench(t, up("m1", "model"), up("m2", "model"))
	config := coldConfig()
	config.Version = 2
	config.Services[1].Engine.CanCopyCache = true
	b.reduce(ConfigRead{Config: config, Body: []byte("2"), Source: "store"})
	conn, d := b.streaming("/plan/1", 5000)
	target := "m1"
	if d.Upstream.ID == "m1" {
		target = "m2"
	}
	b.reclaim(d.Upstream.ID, 2500*time.Millisecond)
	b.g.mergeCold(peer.Status{Node: "b", Cold: []peer.ColdUpstream{{Process: processID(up(target, "model")), Left: time.Second}}})
	effects := b.reduce(Moved{Conn: conn, Attempt: d.Attempt, Outcome: MoveDone, Handle: "h1"})
	effects = append(effects, b.reduce(Ended{Conn: conn, Attempt: d.Attempt, Result: ResultBroken, AnswerSent: true})...)
	effects = append(effects, b.wait(900*time.Millisecond)...)
	b.Assert(reachedBy(effects)[target], qt.Equals, 0)
	b.Assert(b.dispatch(b.wait(300*time.Millisecond)).Upstream.ID, qt.Equals, target)
}

// TestPlanOfColdUpstreams: for any number of nodes, rate and bound, all senders together stay within
// the bound in any second, and may use half of what is tolerated wherever the bound leaves that.
func TestPlanOfColdUpstreams(t *testing.T) {
	for _, nodes := range []int{1, 2, 6, 7, 10, 11, 12, 13, 39, 70, 340} {
		for _, rate := range []float64{0.1, 0.5, 1, 2, 7.5, 11, 40, 100, 1000} {
			for _, bound := range []struct{ over, slack float64 }{{1.5, 5}, {1, 0}, {1, 5}, {0, 0}, {2, 0.5}} {
				b := rate*bound.over + bound.slack
				plan := planCold(nodes, rate, b)
				comment := qt.Commentf("%d nodes, rate %v, bound %v: %+v", nodes, rate, b, plan)
				// The closed second from a request on: what has been saved up and what is added in it.
				inOneSecond := 1 + math.Floor(plan.perSecond)
				qt.Check(t, plan.senders <= nodes && float64(plan.senders)*inOneSecond <= b, qt.IsTrue, comment)
				qt.Check(t, float64(plan.senders)*plan.perSecond <= rate*1.0001, qt.IsTrue, comment)
				if b >= rate+1 && b >= 1 {
					qt.Check(t, float64(plan.senders)*plan.perSecond >= rate/2, qt.IsTrue, comment)
				}
			}
		}
	}
}

// TestNewNodeWaitsForItsShare: two nodes that read different lists would both take themselves for
// one of the few that may send.
func TestNewNodeWaitsForItsShare(t *testing.T) {
	for _, row := range []struct {
		name string
		read func(b *bench)
		// shareAfter is when the node uses its share.
		shareAfter time.Duration
	}{
		{"a restarted node", func(b *bench) { b.listNodes("a", "b") }, 0},
		{"no list yet", func(*bench) {}, -1},
		{"not listed", func(b *bench) { b.listNodes("b") }, -1},
		{"a new node", func(b *bench) { b.listNodes("b"); b.listNodes("a", "b") }, 15 * time.Second},
		{"removed and listed again", func(b *bench) { b.listNodes("a", "b"); b.listNodes("b"); b.listNodes("a", "b") }, 15 * time.Second},
	} {
		t.Run(row.name, func(t *testing.T) {
			b := coldBench(t, up("m1", "model"))
			row.read(b)
			for since := time.Duration(0); since < 20*time.Second; since += time.Second {
				has := b.g.coldShare("m1", "model") > 0
				b.Assert(has, qt.Equals, row.shareAfter >= 0 && since >= row.shareAfter, qt.Commentf("after %v", since))
				b.now = b.now.Add(time.Second)
				b.receive(status("b"))
			}
		})
	}
}

// TestNodeWithAnOldListGivesItsShareUp, unless most nodes are in contact with it: it may have been
// removed from the list meanwhile.
func TestNodeWithAnOldListGivesItsShareUp(t *testing.T) {
	b := coldBench(t, up("m1", "model"))
	b.listNodes("a", "b", "c")
	b.Assert(b.g.coldShare("m1", "model") > 0, qt.IsTrue)
	b.wait(11 * time.Second)
	b.Assert(b.g.coldShare("m1", "model"), qt.Equals, 0.0)
	b.receive(status("b"))
	b.Assert(b.g.coldShare("m1", "model") > 0, qt.IsTrue)
}

// TestColdTimeIsNotProlonged: the same entry read again, by another list or from a peer, says
// nothing new; an entry without a cold time ends none; another process has none of it.
func TestColdTimeIsNotProlonged(t *testing.T) {
	b := coldBench(t)
	cold := coldFor(3*time.Second, "m1", "model")
	cold.Revision = 7
	b.list(cold)
	b.now = b.now.Add(2 * time.Second)
	b.list(cold)
	b.Assert(b.g.upstreams.ColdLeft(b.now, "m1"), qt.Equals, time.Second)
	warm := up("m1", "model")
	warm.Revision = 8
	b.list(warm)
	b.Assert(b.g.upstreams.ColdLeft(b.now, "m1"), qt.Equals, time.Second)
	cold.Revision = 9
	b.list(cold)
	b.Assert(b.g.upstreams.ColdLeft(b.now, "m1"), qt.Equals, 3*time.Second, qt.Commentf("it is cold again"))
	next := up("m1", "model")
	next.StartedAt = b.now
	b.list(next)
	b.Assert(b.g.upstreams.ColdLeft(b.now, "m1"), qt.Equals, time.Duration(0))
}

// TestOddColdTimes: an entry that says nonsense of its cold time counts as cold, for a minute at
// most, with one line; the others in the list are read as ever.
func TestOddColdTimes(t *testing.T) {
	for _, left := range []time.Duration{-time.Second, 100 * time.Hour} {
		t.Run(fmt.Sprint(left), func(t *testing.T) {
			b := coldBench(t)
			list := []placement.Upstream{coldFor(left, "m1", "model"), coldFor(2*time.Second, "m2", "model"), up("m3", "model")}
			effects := append(b.list(list...), b.list(list...)...)
			b.Assert(logged("cold", effects), qt.DeepEquals, []string{"cold time in entry makes no sense", "upstream is cold", "upstream is cold"})
			b.Assert(b.g.upstreams.ColdLeft(b.now, "m1"), qt.Equals, time.Minute)
			b.Assert(b.g.upstreams.ColdLeft(b.now, "m2"), qt.Equals, 2*time.Second)
			b.Assert(b.g.upstreams.ColdLeft(b.now, "m3"), qt.Equals, time.Duration(0))
		})
	}
}

// TestOddColdRates: a rate that makes no sense counts as one a second, with one line; without
// any, cold upstreams are served as others.
func TestOddColdRates(t *testing.T) {
	for _, row := range []struct {
		cold  *route.Cold
		share float64
		lines int
	}{
		{nil, 0, 0},
		{&route.Cold{PerSecond: 11, Duration: 3 * time.Second}, 11, 0},
		{&route.Cold{PerSecond: 11, Duration: -time.Second}, 11, 1},
		{&route.Cold{PerSecond: -11}, 1, 1},
		{&route.Cold{PerSecond: math.NaN()}, 1, 1},
		{&route.Cold{PerSecond: math.Inf(1)}, 1e6, 1},
		{&route.Cold{PerSecond: 1e300}, 1e6, 1},
	} {
		t.Run(fmt.Sprint(row.cold), func(t *testing.T) {
			b := coldBench(t, coldFor(time.Minute, "m1", "model"))
			b.listNodes("a")
			config := coldConfig()
			config.Version = 2
			config.Services[1].Cold = row.cold
			effects := b.reduce(ConfigRead{Config: config, Body: []byte("2"), Source: "store"})
			lines := 0
			for _, m := range logged("config", effects) {
				if m == "limit of cold upstreams makes no sense" {
					lines++
				}
			}
			b.Assert(lines, qt.Equals, row.lines)
			b.Assert(b.g.upstreams.ColdLeft(b.now, "m1") > 0, qt.Equals, row.cold != nil)
			b.Assert(b.g.coldShare("m1", "model"), qt.Equals, row.share)
		})
	}
}

// TestColdIsLearnedFromPeers: few nodes watch the store. The change goes to the others at once, an
// answer that tells of it with a status, and a node passes on only what it has read itself.
func TestColdIsLearnedFromPeers(t *testing.T) {
	a, b := coldBench(t, up("m1", "model")), coldBench(t, up("m1", "model"))
	a.receive(status("b"))
	a.wait(time.Second)
	a.receive(status("b"))
	u := coldFor(3*time.Second, "m1", "model")
	effects := a.reduce(UpstreamsChanged{Put: []placement.Upstream{u}, Revision: a.g.knownRevision})
	var delta peer.UpstreamsDelta
	for _, e := range effects {
		if s, ok := e.(Send); ok {
			delta, _ = s.Message.(peer.UpstreamsDelta)
		}
	}
	a.Assert(delta.Put, qt.HasLen, 1)
	b.g.upstreams.MergeCold(b.now, "m1", delta.Put[0].ColdLeft)
	b.Assert(b.g.upstreams.ColdLeft(b.now, "m1"), qt.Equals, 3*time.Second)
	b.Assert(b.g.status().Cold, qt.HasLen, 0)
	a.Assert(a.g.status().Cold, qt.HasLen, 1)

	// The answer to a request tells of a second time.
	a.wait(10 * time.Second)
	a.g.recordSignals(up("m1", "model"), a.now, Signals{ColdLeft: 2 * time.Second})
	a.Assert(a.g.status().Cold, qt.DeepEquals, []peer.ColdUpstream{{Process: processID(up("m1", "model")), Left: 2 * time.Second}})
	a.Assert(a.g.broadcastAt.After(a.now), qt.IsFalse)
}

// TestRequestWithoutRoomIsRefusedAtOnce: a node without a share of the only upstreams, which are
// cold, passes its requests on to a node that has one. If it knows none, it refuses at once and
// tells when there is room.
func TestRequestWithoutRoomIsRefusedAtOnce(t *testing.T) {
	b := coldBench(t, coldFor(2*time.Second, "m1", "model"))
	_, effects := b.arrive("/plan/1")
	b.Assert(refusal(effects), qt.Equals, ReasonOverload)
	for _, e := range effects {
		if r, ok := e.(Refuse); ok {
			b.Assert(r.RetryAfter >= 2*time.Second && r.RetryAfter <= 3*time.Second, qt.IsTrue, qt.Commentf("%v", r.RetryAfter))
		}
	}
	s := status("b")
	s.TakesRelays, s.Reaches = true, true
	b.listNodes("b")
	b.wait(sharersRefresh)
	b.receive(s)
	_, effects = b.arrive("/plan/1")
	b.Assert(b.dispatch(effects).Relay.Node, qt.Equals, "b")
}

// TestColdIsReported: metrics and lines tell which upstreams are cold, and what each was given.
func TestColdIsReported(t *testing.T) {
	b := coldBench(t)
	b.listNodes("a")
	effects := b.list(coldFor(3*time.Second, "m1", "model"))
	b.Assert(logged("cold", effects), qt.DeepEquals, []string{"upstream is cold"})
	b.Assert(b.g.State().Services["model"].Cold, qt.Equals, 1)
	b.now = b.now.Add(time.Second)
	_, effects = b.arrive("/plan/1")
	b.Assert(effects, qt.Any(qt.Equals), Effect(Count{Counter: CountCold, Label: "model"}))
	effects = b.wait(3 * time.Second)
	b.Assert(logged("cold", effects), qt.DeepEquals, []string{"upstream is no longer cold"})
	b.Assert(b.g.State().Services["model"].Cold, qt.Equals, 0)
}

package gateway

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/placement"
)

// limitOf returns a peer's observation of the limit of an upstream.
func limitOf(id string, perSecond float64) []placement.ObservedLimit {
	return []placement.ObservedLimit{{Upstream: id, Limit: placement.RateLimit{Named: true, PerSecond: perSecond}}}
}

// receiveLimit receives a status with the limit of an upstream from each of the
// peers.
func (b *bench) receiveLimit(id string, perSecond float64, peers ...string) {
	for _, name := range peers {
		s := status(name)
		s.Limits = limitOf(id, perSecond)
		b.receive(s)
	}
}

// TestSharesOfLimit: the shares of all nodes add up to the limit at most, for any
// number of nodes, all in contact or not; requests that all may send at once stay
// below what the users allow beyond it.
func TestSharesOfLimit(t *testing.T) {
	for _, row := range []struct {
		name string
		// groups holds the numbers of nodes that are in contact with each other.
		groups []int
	}{
		{"one node", []int{1}},
		{"all in contact", []int{6}},
		{"many", []int{64}},
		{"halves", []int{3, 3}},
		{"one cut off", []int{1, 5}},
		{"all cut off", []int{1, 1, 1, 1, 1, 1}},
	} {
		for _, perSecond := range []float64{0.2, 1.2, 7, 100} {
			t.Run(fmt.Sprint(row.name, "/", perSecond), func(t *testing.T) {
				c := qt.New(t)
				sum, senders := 0.0, 0
				for _, share := range sharesOfLimit(t, row.groups, perSecond) {
					sum += share
					if share > 0 {
						senders++
					}
				}
				c.Check(sum <= perSecond*1.0001, qt.IsTrue, qt.Commentf("%.2f", sum))
				c.Check(sum >= perSecond*0.9999/float64(len(row.groups)), qt.IsTrue, qt.Commentf("%.2f", sum))
				// In 4 s each sender may send one more than its share.
				c.Check(4*sum+float64(senders) <= 1.5*4*perSecond+5+float64(len(row.groups)), qt.IsTrue, qt.Commentf("%d senders", senders))
			})
		}
	}
}

// sharesOfLimit returns the share of each node, of which each knows all others.
func sharesOfLimit(t *testing.T, groups []int, perSecond float64) []float64 {
	var names []string
	var group []int
	for i, n := range groups {
		for range n {
			names = append(names, fmt.Sprint("node-", len(names)))
			group = append(group, i)
		}
	}
	var shares []float64
	for i, name := range names {
		b := newBench(t, name)
		b.ready(up("m1", "model"))
		var entries []NodeEntry
		for j, other := range names {
			entries = append(entries, NodeEntry{Node: other, PeerAddress: other})
			if other != name && group[i] == group[j] {
				b.receive(status(other))
			}
		}
		b.reduce(NodesListed{Nodes: entries})
		shares = append(shares, b.g.limitShare("m1", perSecond))
	}
	return shares
}

// TestStoppingNodeLeavesItsShare: a node that shuts down sends nothing more to an
// upstream with a limit, and the others use its share.
func TestStoppingNodeLeavesItsShare(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("m1", "model"))
	b.receive(status("b"))
	total := b.g.limitShare("m1", 0.5)
	s := status("b")
	s.Ready = false
	b.receive(s)
	b.Assert(b.g.limitShare("m1", 0.5), qt.Equals, 0.5)
	b.Assert(total == 0 || total == 0.5, qt.IsTrue)
	b.reduce(Stop{})
	b.Assert(b.g.limitShare("m1", 0.5), qt.Equals, 0.0)
}

// limitedBench has one engine with a limit of two requests a second.
func limitedBench(t *testing.T) *bench {
	b := newBench(t, "a")
	b.ready(up("m1", "model"))
	b.g.table.Teams()[0].Rate = 0
	conn, effects := b.arrive("/plan/1")
	d := b.dispatch(effects)
	b.reduce(Began{Conn: conn, Attempt: d.Attempt, Signals: Signals{RateLimit: placement.RateLimit{Named: true, PerSecond: 2}}})
	b.reduce(Ended{Conn: conn, Attempt: d.Attempt, Result: ResultComplete})
	return b
}

// sentIn counts the dispatches while a function sends requests every tick.
func (b *bench) sentIn(d time.Duration, send func() []Effect) (sent int) {
	count := func(effects []Effect) {
		for _, e := range effects {
			if _, ok := e.(Dispatch); ok {
				sent++
			}
		}
	}
	for end := b.now.Add(d); b.now.Before(end); {
		count(send())
		count(b.wait(TickInterval))
	}
	return sent
}

// TestLimitCountsAllSends: whatever way requests take to an upstream, it gets what
// its limit allows. One row for each way.
func TestLimitCountsAllSends(t *testing.T) {
	const allowed = 2*10 + 1
	for _, row := range []struct {
		name string
		send func(*bench) []Effect
	}{
		{"first sends and the queue", func(b *bench) []Effect {
			_, effects := b.arrive("/plan/1")
			return effects
		}},
		{"retries after refusals", func(b *bench) []Effect { return b.endAll(ResultFull) }},
		{"retries after breaks", func(b *bench) []Effect { return b.endAll(ResultErrored) }},
		{"resumed streams", func(b *bench) []Effect {
			var all []Effect
			for _, r := range b.running() {
				all = append(all, b.reduce(Began{Conn: r.conn, Attempt: r.attempt, Signals: Signals{RateLimit: twoPerSecond}})...)
				all = append(all, b.reduce(Ended{Conn: r.conn, Attempt: r.attempt, Result: ResultBroken, AnswerSent: true})...)
			}
			_, effects := b.arrive("/ask/1")
			return append(all, effects...)
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			b := limitedBench(t)
			sent := b.sentIn(10*time.Second, func() []Effect { return row.send(b) })
			b.Assert(sent <= allowed, qt.IsTrue, qt.Commentf("%d", sent))
			b.Assert(sent >= allowed/2, qt.IsTrue, qt.Commentf("%d", sent))
		})
	}
}

var twoPerSecond = placement.RateLimit{Named: true, PerSecond: 2}

func (b *bench) running() []*request {
	var list []*request
	for _, r := range b.g.requests {
		if r.phase == phaseRunning {
			list = append(list, r)
		}
	}
	return list
}

// endAll ends all running attempts with a result that names the limit, and submits
// another request.
func (b *bench) endAll(result Result) []Effect {
	var all []Effect
	for _, r := range b.running() {
		all = append(all, b.reduce(Ended{Conn: r.conn, Attempt: r.attempt, Result: result, Framing: FramingLength, Signals: Signals{RateLimit: twoPerSecond}})...)
	}
	_, effects := b.arrive("/ask/1")
	return append(all, effects...)
}

// TestMovesCountAgainstLimit: a stream that is moved goes to an engine whose limit
// has room, and uses it.
func TestMovesCountAgainstLimit(t *testing.T) {
	b := newBench(t, "a")
	config := testConfig(1)
	config.Services[1].Engine.CanCopyCache = true
	b.reduce(ConfigRead{Config: config, Body: []byte("1"), Source: "store"})
	b.reduce(RolloutsChanged{})
	b.list(up("m1", "model"))
	b.g.table.Teams()[0].Rate = 0
	var dispatched []Dispatch
	for range 3 {
		conn, effects := b.submit(Request{Path: "/plan/1", Key: "k", Prompt: placement.Prompt{InputTokens: 100, MaxOutputTokens: 5000}})
		dispatched = append(dispatched, b.dispatch(effects))
		b.reduce(Began{Conn: conn, Attempt: dispatched[len(dispatched)-1].Attempt})
	}
	leaving := up("m1", "model")
	leaving.State = placement.StateDraining
	leaving.StopsAt = b.now.Add(3 * time.Second)
	b.list(up("m1", "model"), up("m2", "model"))
	b.g.upstreams.RecordLimit(b.now, b.now, "m2", placement.RateLimit{Named: true, PerSecond: 1})
	effects := b.list(leaving, up("m2", "model"))
	b.Assert(has(Move{}, effects), qt.IsFalse)
	b.now = b.now.Add(time.Second)
	effects = b.list(leaving, up("m2", "model"))
	b.Assert(has(Move{}, effects), qt.IsTrue)
	_, effects = b.arrive("/ask/1")
	b.Assert(has(Dispatch{}, effects), qt.IsFalse, qt.Commentf("the moved stream has used the limit"))
}

// TestLimitIsLearnedFromPeers: a node that starts, or that has never sent to the
// upstream, keeps to the limit that others report, also after they are gone.
func TestLimitIsLearnedFromPeers(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("m1", "model"))
	b.receiveLimit("m1", 0.5, "b")
	_, effects := b.arrive("/plan/1")
	b.Assert(has(Dispatch{}, effects), qt.IsFalse)
	b.wait(10 * time.Second)
	b.reduce(NodesListed{Nodes: []NodeEntry{{Node: "a"}}})
	b.Assert(b.g.members, qt.HasLen, 0)
	sent := b.sentIn(10*time.Second, func() []Effect {
		_, effects := b.arrive("/plan/1")
		return effects
	})
	b.Assert(sent >= 4 && sent <= 6, qt.IsTrue, qt.Commentf("%d", sent))
}

// TestLimitIsReported: the statuses of a node have the limits that were named to it.
func TestLimitIsReported(t *testing.T) {
	b := limitedBench(t)
	b.receive(status("b"))
	for _, e := range b.wait(time.Second) {
		send, ok := e.(Send)
		if !ok {
			continue
		}
		if s, ok := send.Message.(peer.Status); ok {
			b.Assert(s.Limits, qt.HasLen, 1)
			b.Assert(s.Limits[0].Limit, qt.Equals, twoPerSecond)
			return
		}
	}
	b.Fatal("no status sent")
}

// TestNodeWithoutShareRefusesAtOnce: where the limits of all upstreams are used by
// other nodes, a request is refused without waiting.
func TestNodeWithoutShareRefusesAtOnce(t *testing.T) {
	b := newBench(t, "a")
	peers := []string{"b", "c", "d", "e", "f"}
	for n := 0; ; n++ {
		id := fmt.Sprint("m", n)
		b.ready(up(id, "model"))
		b.receiveLimit(id, 0.5, peers...)
		if b.g.limitShare(id, 0.5) == 0 {
			break
		}
	}
	_, effects := b.arrive("/plan/1")
	b.Assert(refusal(effects), qt.Equals, ReasonOverload)
}

// oddLimits are numbers that no sound upstream or node names.
var oddLimits = []float64{math.Inf(1), math.Inf(-1), math.NaN(), 1 << 63, 1 << 64, 1e300, -0.5, -5}

// TestOddLimitsAreShared guards against a node that stops on a limit which a peer reports, or
// an upstream names, out of the range of whole numbers.
func TestOddLimitsAreShared(t *testing.T) {
	for _, perSecond := range oddLimits {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			b := newBench(t, "a")
			b.ready(up("m1", "model"))
			for range 30 {
				b.receiveLimit("m1", perSecond, "b", "c")
				b.arrive("/plan/1")
				b.wait(100 * time.Millisecond)
			}
			b.receiveLimit("m1", perSecond, "b", "c")
			count := 1
			if perSecond > 1 {
				count = 2
			}
			shared := placement.Shared{ID: "m1", Limit: placement.RateLimit{Named: true, PerSecond: perSecond}}
			b.Assert(b.g.sharers(shared), qt.HasLen, count)
		})
	}
}

// TestHugeLimitLeavesAShare guards against a node that sends nothing to an upstream whose limit
// is higher than any number of requests.
func TestHugeLimitLeavesAShare(t *testing.T) {
	for _, perSecond := range []float64{math.Inf(1), 1 << 63, 1 << 64, 1e300} {
		for _, share := range sharesOfLimit(t, []int{3}, perSecond) {
			qt.Check(t, share, qt.Equals, perSecond/3, qt.Commentf("%g", perSecond))
		}
	}
}

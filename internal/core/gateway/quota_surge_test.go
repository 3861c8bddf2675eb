package gateway

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/placement"
	"monsoonlanding/internal/core/quota"
)

var quotaLarge = flag.Bool("quota.large", false, "play a team's surge on 340 nodes, too")

// TestSurgeOfTeam guards against refusals within a quota and among unequal requests. A team's
// demand jumps to several times its quota, on all nodes or a few. Nodes refused at random what
// peers might have spent, all kinds alike, and on few nodes half of the quota stayed unused.
func TestSurgeOfTeam(t *testing.T) {
	loads := []teamLoad{
		{nodes: 7, rate: 1_200_000, factor: 3.3},
		{nodes: 90, rate: 1_200_000, factor: 3.3},
		{nodes: 90, rate: 1_200_000, factor: 1.3},
		{nodes: 90, hotNodes: 4, rate: 1_200_000, factor: 3.3},
		{nodes: 125, rate: 1_200_000, factor: 3.3},
	}
	if *quotaLarge {
		loads = append(loads, teamLoad{nodes: 340, rate: 1_200_000, factor: 3.3})
	}
	for _, l := range loads {
		l.delay, l.seed = 60*time.Millisecond, 5
		t.Run(l.name(), func(t *testing.T) {
			t.Parallel()
			r := newTeamWorld(t, l).play()
			t.Log(r)
			c := qt.New(t)
			c.Check(r.greatest <= 1, qt.IsTrue)
			c.Check(r.otherRefused, qt.Equals, 0)
			c.Check(r.used >= 0.97, qt.IsTrue)
			c.Check(r.kinds[0].served() >= 0.99, qt.IsTrue)
			for i := range r.kinds[1:] {
				c.Check(r.kinds[i].served() >= r.kinds[i+1].served()-0.05, qt.IsTrue, qt.Commentf("kind %d", i))
			}
			for i, k := range r.kinds {
				largest := 1 - float64(k.largeRefused)/float64(k.large)
				c.Check(largest >= k.served()/2, qt.IsTrue, qt.Commentf("kind %d: %.3f of the largest", i, largest))
			}
		})
	}
}

// TestSurgeOfSmallTeam: a request is a fifth of a second's quota, and each node is asked now and
// then. The most urgent ones go first, and nobody gets more than the bound.
func TestSurgeOfSmallTeam(t *testing.T) {
	t.Parallel()
	r := newTeamWorld(t, teamLoad{nodes: 90, rate: 64_000, factor: 3.3, delay: 60 * time.Millisecond, seed: 5}).play()
	t.Log(r)
	c := qt.New(t)
	c.Check(r.greatest <= 1, qt.IsTrue)
	c.Check(r.used >= 0.97, qt.IsTrue)
	c.Check(r.kinds[0].refused <= 1, qt.IsTrue)
}

// TestQuotaHoldsThroughFaults guards against more than the bound in a window while a team's demand
// is many times its quota: half of the nodes is cut off, and both sides spend before they notice
// it; all nodes restart, and none knows what was spent.
func TestQuotaHoldsThroughFaults(t *testing.T) {
	const length = 9 * time.Second
	for _, l := range []teamLoad{
		{nodes: 7, rate: 1_200_000, factor: 3.3, cutAt: surgeStart},
		{nodes: 24, rate: 1_200_000, factor: 10, cutAt: surgeStart},
		{nodes: 24, rate: 1_200_000, factor: 10, restartAt: 4 * time.Second, restarted: 24},
		{nodes: 90, rate: 1_200_000, factor: 10, cutAt: surgeStart},
		{nodes: 90, rate: 1_200_000, factor: 10, cutAt: 5 * time.Second},
		{nodes: 90, rate: 1_200_000, factor: 10, restartAt: 5 * time.Second, restarted: 90},
		{nodes: 90, rate: 64_000, factor: 10, cutAt: surgeStart},
		{nodes: 90, rate: 64_000, factor: 10, restartAt: 5 * time.Second, restarted: 90},
	} {
		l.delay, l.seed, l.length = 60*time.Millisecond, 5, length
		t.Run(l.name(), func(t *testing.T) {
			t.Parallel()
			r := newTeamWorld(t, l).play()
			t.Log(r)
			qt.Check(t, r.greatest <= 1, qt.IsTrue)
		})
	}
}

// TestQuotaHoldsInRandomPlays draws loads, cuts, restarts and delays of statuses.
func TestQuotaHoldsInRandomPlays(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 11))
		l := teamLoad{nodes: 2 + rng.IntN(24), rate: 50_000 + 1_500_000*rng.Float64(), factor: 1 + 9*rng.Float64(), length: 9 * time.Second, seed: seed}
		l.delay = time.Duration(rng.Float64() * float64(250*time.Millisecond))
		if rng.IntN(2) == 0 {
			l.cutAt = time.Duration(rng.Float64() * float64(8*time.Second))
		}
		if rng.IntN(2) == 0 {
			l.restartAt, l.restarted = time.Duration(rng.Float64()*float64(8*time.Second)), 1+rng.IntN(l.nodes)
		}
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := newTeamWorld(t, l).play()
			t.Log(l.name(), r)
			qt.Check(t, r.greatest <= 1, qt.IsTrue, qt.Commentf("restart %v, delay %v", l.restartAt, l.delay))
		})
	}
}

// TestDemandOfEarlierBuilds: a build that doesn't divide its demand by rank counts as divided like
// this node's, so that it takes no part of the reserve of more urgent requests by itself.
func TestDemandOfEarlierBuilds(t *testing.T) {
	c := qt.New(t)
	c.Assert(newPeerDemand(100, nil).byRank(quota.Demand{10, 30}, 0), qt.Equals, quota.Demand{25, 75})
	c.Assert(newPeerDemand(100, nil).byRank(quota.Demand{}, 2), qt.Equals, quota.Demand{0, 0, 100})
	c.Assert(newPeerDemand(100, []int{20, 0, 80}).byRank(quota.Demand{10}, 0), qt.Equals, quota.Demand{20, 0, 80})
	c.Assert(newPeerDemand(100, []int{-5, 50, 0, 0, 0, 0, 0, 0, 0, 0, 0, 50}).byRank(quota.Demand{}, 0), qt.Equals, quota.Demand{1: 50, 9: 50})
}

// TestRefusedRequestsReturnOneByOne: requests beyond the quota that are refused at the same time
// are named times that the refill covers one after the other.
func TestRefusedRequestsReturnOneByOne(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("m1", "model"))
	var waits []time.Duration
	for range 30 {
		_, effects := b.submit(Request{Path: "/ask/1", Key: "k", Prompt: placement.Prompt{InputTokens: 1900, MaxOutputTokens: 100}})
		for _, e := range effects {
			if refuse, ok := e.(Refuse); ok {
				b.Assert(refuse.Reason, qt.Equals, ReasonQuota)
				waits = append(waits, refuse.RetryAfter)
			}
		}
	}
	// The burst holds ten; the refill covers five a second, and callers wait for up to 5 s.
	b.Assert(waits, qt.HasLen, 20)
	for i, wait := range waits[1:] {
		b.Assert(wait-waits[i], qt.Equals, 200*time.Millisecond)
	}
}

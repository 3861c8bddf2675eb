package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestNodesComeToTheSameVerdict: each crash is seen by some of the nodes, each in
// part. Whatever the order of their reports, all quarantine the same trait.
func TestNodesComeToTheSameVerdict(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		nodes := []*Register{New(), New(), New(), New()}
		now := epoch
		for id := range uint64(4) {
			culprit := rng.IntN(len(nodes))
			nodes[culprit].RecordCrash(now, id, Traits([]string{"p1", "p2"}, 100+id), SignHead)
			other := rng.IntN(len(nodes))
			nodes[other].RecordCrash(now, id, Traits([]string{"p1", fmt.Sprint("n", rng.IntN(2))}, 200+id), SignNothing)
			nodes[other].RecordSound(now, Traits([]string{"p1", "n0"}, 300+id), false)
			now = now.Add(settle)
		}
		for range 3 {
			for _, from := range rng.Perm(len(nodes)) {
				report := nodes[from].Report(now)
				for _, to := range rng.Perm(len(nodes)) {
					if to != from {
						nodes[to].Merge(now, fmt.Sprint("node-", from), report)
					}
				}
			}
		}
		for i, n := range nodes {
			n.Judge(now, settle)
			c.Assert(n.Quarantined(), qt.DeepEquals, map[Trait]int{part2: 4}, qt.Commentf("seed %d, node %d", seed, i))
		}
	}
}

// TestExpiredEvidenceDoesNotReturn: nodes that expire a crash at different times
// don't keep it alive in each other.
func TestExpiredEvidenceDoesNotReturn(t *testing.T) {
	c := qt.New(t)
	a, b := New(), New()
	for id := range uint64(3) {
		a.RecordCrash(epoch, id, Traits([]string{"p1"}, id), SignNothing)
	}
	for now := epoch; now.Before(epoch.Add(crashRetention + 10*time.Second)); now = now.Add(time.Second) {
		b.Merge(now.Add(200*time.Millisecond), "a", a.Report(now))
		a.Merge(now.Add(400*time.Millisecond), "b", b.Report(now.Add(200*time.Millisecond)))
		a.Prune(now)
		b.Prune(now)
	}
	c.Assert(a.entries, qt.HasLen, 0)
	c.Assert(b.entries, qt.HasLen, 0)
}

// TestStartedNodeLearnsOfQuarantine: a node that starts after the crashes are older
// than crashRetention learns of the quarantine from a peer.
func TestStartedNodeLearnsOfQuarantine(t *testing.T) {
	p := newPlay(t)
	for range 4 {
		p.crash(map[Sign][]Trait{SignHead: p.request("p1")})
	}
	p.judge()
	p.now = p.now.Add(crashRetention)
	p.r.Prune(p.now)
	started := New()
	started.Merge(p.now, "old", p.r.Report(p.now))
	started.Judge(p.now, settle)
	started.Prune(p.now)
	p.Assert(started.Refuses(p.request("p1")), qt.IsTrue)
}

// TestReportIsBounded: whatever breaks, a report stays small and has the
// quarantined traits.
func TestReportIsBounded(t *testing.T) {
	p := newPlay(t)
	for range 3 {
		p.crash(map[Sign][]Trait{SignHead: p.request("p1")})
	}
	p.judge()
	for i := range uint64(1000) {
		p.r.RecordCrash(p.now, 100+i, p.request(fmt.Sprint("n", i)), SignNothing)
	}
	report := p.r.Report(p.now)
	p.Assert(report.Evidence, qt.HasLen, 1+maxReported)
	p.Assert(report.Evidence[0].Trait, qt.Equals, part1)
	for id := range uint64(20) {
		p.r.RecordCrash(p.now, id, p.request("many"), SignNothing)
	}
	for _, e := range p.r.Report(p.now).Evidence {
		p.Assert(len(e.Crashes) <= maxReportedCrashes, qt.IsTrue)
	}
	for range maxEntries {
		p.r.RecordCrash(p.now, 1, p.request(), SignNothing)
	}
	p.Assert(len(p.r.entries) <= maxEntries, qt.IsTrue)
}

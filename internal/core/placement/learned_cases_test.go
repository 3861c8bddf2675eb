package placement

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/capacity"
)

// learnOne plays an answer of u0 at a set.
func learnOne(s *Set, now time.Time, request uint64, took time.Duration) {
	s.RecordStart(now.Add(-took), "u0", request, Prompt{})
	s.RecordGoals("u0", request, "route", learnedGoal, 0)
	s.RecordEnd(now, "u0", request, Succeeded)
}

// TestStatedSlownessIsNotLearned: an upstream that says that its machine is slow at the moment was
// held to be slow for good.
func TestStatedSlownessIsNotLearned(t *testing.T) {
	c := qt.New(t)
	for _, stated := range []float64{0, 3} {
		s := newLearningWorld(1, 3).nodes[0]
		now := epoch
		for i := range uint64(10) {
			now = now.Add(300 * time.Millisecond)
			learnOne(s, now, 2*i+1, usualTime)
		}
		for i := range uint64(10) {
			now = now.Add(300 * time.Millisecond)
			s.RecordReport(now, "u0", Report{Slowdown: stated})
			learnOne(s, now, 2*i+100, 3*usualTime)
		}
		factor := s.Capacities(now)[0].Factor
		c.Assert(factor > 1, qt.Equals, stated == 0, qt.Commentf("stated %v: %.2f", stated, factor))
	}
}

// TestSamplesArriveOnce: a status repeats the samples of the one before, statuses overtake each
// other, and a node that has started again numbers them from the beginning. A sample of an earlier
// process of the upstream says nothing of this one.
func TestSamplesArriveOnce(t *testing.T) {
	c := qt.New(t)
	w := newLearningWorld(2, 3)
	a, b := w.nodes[0], w.nodes[1]
	now := epoch.Add(time.Second)
	for i := range uint64(10) {
		learnOne(a, now, 10+i, usualTime)
	}
	learnOne(a, now, 2, 4*usualTime)
	first := a.OwnSamples(now, time.Second)
	c.Assert(first.List, qt.HasLen, 1)
	learnOne(a, now, 3, 4*usualTime)
	second := a.OwnSamples(now, time.Second)
	known := func() int { return b.members["u0"].learned.Samples() }
	b.MergeSamples(now, "a", 1, second)
	c.Assert(known(), qt.Equals, 2)
	b.MergeSamples(now, "a", 1, first)
	b.MergeSamples(now, "a", 1, second)
	c.Assert(known(), qt.Equals, 2)
	b.MergeSamples(now, "a", 2, first)
	c.Assert(known(), qt.Equals, 3)
	b.Put(Upstream{ID: "u0", Service: "s", Slots: learnedSlots, State: StateReady, StartedAt: now})
	b.MergeSamples(now, "a", 3, second)
	c.Assert(known(), qt.Equals, 0)
}

// TestBeyondRoomIsLastResort: an upstream that runs as many requests as it takes well gets others
// only if no other has room, and then it gets them.
func TestBeyondRoomIsLastResort(t *testing.T) {
	c := qt.New(t)
	cost := LeastTime(Candidate{BeyondRoom: true})
	c.Assert(cost > LeastTime(Candidate{Wait: time.Second, Errors: 1, OtherZone: true}), qt.IsTrue)
	c.Assert(cost < LeastTime(Candidate{Unlisted: true}), qt.IsTrue)
	s := newLearningWorld(1, 1).nodes[0]
	now := epoch
	for i := range uint64(40) {
		now = now.Add(100 * time.Millisecond)
		learnOne(s, now, i+1, 10*usualTime)
	}
	for i := range uint64(2 * learnedSlots) {
		_, ok := s.Pick(now, Query{Service: "s"})
		c.Assert(ok, qt.IsTrue)
		s.RecordStart(now, "u0", 100+i, Prompt{})
	}
}

// TestCapacityChangesAreBounded: a line for each change of a fifth, at most every ten seconds for one
// upstream.
func TestCapacityChangesAreBounded(t *testing.T) {
	c := qt.New(t)
	w := newLearningWorld(1, 12)
	s := w.nodes[0]
	w.slowdown = func(id string, _ int) float64 {
		if (w.now.Sub(epoch)/followUpMaxAge)%2 == 0 && id < "u3" {
			return 3
		}
		return 1
	}
	lines := 0
	for range 30 {
		w.play(time.Second, 80)
		changes := s.CapacityChanges(w.now)
		c.Assert(len(changes) <= maxCapacityChanges, qt.IsTrue)
		lines += len(changes)
	}
	c.Assert(lines <= 12*3, qt.IsTrue, qt.Commentf("%d", lines))
}

// TestFollowUpIsTakenByOneNode: after a sample of a slow upstream that was as usual, every node sent
// its next request there at once. Only the node that took the sample follows it up, and not long
// after.
func TestFollowUpIsTakenByOneNode(t *testing.T) {
	c := qt.New(t)
	const nodes = 70
	w := newLearningWorld(nodes, 4)
	now := epoch.Add(time.Second)
	process := w.nodes[0].members["u0"].processHash()
	slow := SharedSample{Process: process, Stretch: 25, Weight: 16}
	for _, s := range w.nodes {
		for range 20 {
			s.mergeSample(now, slow)
		}
		s.Pick(now, plainQuery)
	}
	shared := &SharedSamples{Last: 1, List: []SharedSample{{Process: process, Weight: 16}}}
	for _, s := range w.nodes[1:] {
		s.MergeSamples(now, "n0", 1, shared)
	}
	first := w.nodes[0]
	first.observeOwn(now, first.members["u0"], shared.List[0].decode(now))
	probes := func(at time.Time) (n int) {
		for _, s := range w.nodes[1:] {
			if u, _ := s.Pick(at, plainQuery); u.ID == "u0" {
				n++
			}
		}
		return n
	}
	n := probes(now.Add(200 * time.Millisecond))
	c.Assert(n <= nodes/10, qt.IsTrue, qt.Commentf("%d, factor %.2f", n, w.nodes[1].members["u0"].learned.Factor()))
	c.Assert(first.members["u0"].learned.IsSlow(), qt.IsTrue)
	c.Assert(first.members["u0"].needsProbe(now.Add(time.Second), UpstreamLoad{}, false), qt.IsTrue)
	c.Assert(first.members["u0"].needsProbe(now.Add(followUpMaxAge), UpstreamLoad{}, false), qt.IsFalse)
}

// TestChangedServiceIsLearnedAnew: an entry that changes its service but not its process left the
// learner without anything about the new service, and the next answer ended the node.
func TestChangedServiceIsLearnedAnew(t *testing.T) {
	c := qt.New(t)
	s := newLearningWorld(1, 1).nodes[0]
	learnOne(s, epoch, 1, usualTime)
	s.Put(Upstream{ID: "u0", Service: "other", Zone: "z", Slots: learnedSlots, State: StateReady})
	c.Assert(s.members["u0"].learned.Samples(), qt.Equals, 0)
	s.RecordReport(epoch, "u0", Report{Slowdown: 1})
	for i := range uint64(10) {
		learnOne(s, epoch, 2+i, usualTime)
	}
	c.Assert(s.learner.services["other"], qt.IsNotNil)
	s.Remove("u0")
}

// TestNumbersOutlastSwitchingOff: a node that was told to stop learning and to start again numbered
// its samples from the beginning, so that its peers ignored them.
func TestNumbersOutlastSwitchingOff(t *testing.T) {
	c := qt.New(t)
	w := newLearningWorld(2, 3)
	a, b := w.nodes[0], w.nodes[1]
	share := func() {
		a.observeOwn(epoch, a.members["u0"], capacity.Sample{At: epoch, Stretch: 3, Weight: 1})
		b.MergeSamples(epoch, "a", 1, a.OwnSamples(epoch, time.Second))
	}
	for range 5 {
		share()
	}
	a.Learn(LearnOff)
	a.Learn(LearnOn)
	share()
	c.Assert(b.members["u0"].learned.Samples(), qt.Equals, 6)
}

// TestUsualTimeIsTheRoutes: a route that takes 5 s made each request of its service count as 5 s of
// work, so that nothing went to an upstream that is slower by a quarter; and it did so for ever.
func TestUsualTimeIsTheRoutes(t *testing.T) {
	c := qt.New(t)
	s := newLearningWorld(1, 1).nodes[0]
	now := epoch
	learnRoute := func(route string, took time.Duration) {
		for i := range uint64(10) {
			s.RecordStart(now, "u0", 1+i, Prompt{})
			s.RecordGoals("u0", 1+i, route, 0, 0)
			s.RecordEnd(now.Add(took), "u0", 1+i, Succeeded)
		}
		now = now.Add(took)
	}
	learnRoute("short", usualTime)
	learnRoute("long", 5*time.Second)
	work := func(route string) time.Duration {
		candidate := Candidate{Work: plainServiceTime}
		s.applyLearned(&candidate, s.members["u0"], UpstreamLoad{}, Query{Service: "s", Route: route})
		return candidate.Work.Round(time.Millisecond)
	}
	c.Assert(work("short"), qt.Equals, usualTime)
	c.Assert(work("long"), qt.Equals, 5*time.Second)
	c.Assert(work("unknown"), qt.Equals, plainServiceTime)
	now = now.Add(usualRetention - time.Second)
	learnRoute("short", usualTime)
	now = now.Add(time.Second)
	s.Expire(now)
	c.Assert(work("short"), qt.Equals, usualTime)
	c.Assert(work("long"), qt.Equals, plainServiceTime)
}

// TestUnusableUpstreamsAreNotTheUsual: with the only usual upstreams evacuated, those that are left
// were held to be slow, although there are no others.
func TestUnusableUpstreamsAreNotTheUsual(t *testing.T) {
	c := qt.New(t)
	s := newLearningWorld(1, 0).nodes[0]
	for i := range 5 {
		s.Put(Upstream{ID: fmt.Sprint("u", i), Service: "s", Zone: fmt.Sprint("z", i/3), Slots: learnedSlots, State: StateReady})
	}
	learn := func(id string, stretch float64) {
		for range 10 {
			s.observeOwn(epoch, s.members[id], capacity.Sample{At: epoch, Stretch: stretch, Weight: 1})
		}
	}
	for i, stretch := range []float64{1, 1, 1, 2, 2} {
		learn(fmt.Sprint("u", i), stretch)
	}
	s.refreshLearned(epoch, "s")
	c.Assert(s.members["u3"].learned.IsSlow(), qt.IsTrue)
	s.SetEvacuated([]string{"z0"})
	s.refreshLearned(epoch.Add(time.Second), "s")
	c.Assert(s.members["u3"].learned.IsSlow(), qt.IsFalse)
	c.Assert(s.learnedService("s").group.HasSlow(), qt.IsFalse)
}

// TestLearnedSlownessRefusesNobody: a request waited at the node or was turned away because the time
// at an upstream that is only learned to be slow exceeds what it may wait there. What the upstream
// itself states still counts.
func TestLearnedSlownessRefusesNobody(t *testing.T) {
	c := qt.New(t)
	s := newSet("a", 2)
	s.Learn(LearnOn)
	for range 10 {
		s.observeOwn(epoch, s.members["u0"], capacity.Sample{At: epoch, Stretch: 3, Weight: 1})
	}
	q := engineQuery(prompt("p", 0, 6000))
	load := UpstreamLoad{Prefill: 12_000}
	s.SetPeerLoads("b", map[string]UpstreamLoad{"u0": load, "u1": {Prefill: 100_000}})
	q.MaxWait = s.members["u0"].wait(load, q, s.Speed("s")) + time.Millisecond
	_, ok := s.Pick(epoch, q)
	c.Assert(s.members["u0"].learned.Factor() > 2, qt.IsTrue)
	c.Assert(ok, qt.IsTrue)
	s.RecordReport(epoch, "u0", Report{Slots: 64, Slowdown: 2})
	_, ok = s.Pick(epoch, q)
	c.Assert(ok, qt.IsFalse)
}

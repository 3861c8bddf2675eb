package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/capacity"
)

const (
	learnedSlots = 6
	learnedGoal  = 150 * time.Millisecond
	usualTime    = 60 * time.Millisecond
)

// learningWorld is a number of nodes that place requests at one plain service and send each other
// what they have learned. The service's upstreams get few requests of each node.
type learningWorld struct {
	now       time.Time
	nodes     []*Set
	interval  time.Duration
	statusAt  []time.Time
	upstreams []string
	running   map[string]int
	events    []learningEvent
	rng       *rand.Rand
	request   uint64
	// slowdown returns how long work takes at an upstream with a number of others running.
	slowdown func(id string, running int) float64
	placed   map[string]int
	late     map[string]int
}

type learningEvent struct {
	at      time.Time
	node    int
	id      string
	request uint64
}

func newLearningWorld(nodes, upstreams int) *learningWorld {
	w := &learningWorld{
		now: epoch, interval: max(250*time.Millisecond, time.Duration(nodes)*10*time.Millisecond),
		running: make(map[string]int), rng: rand.New(rand.NewPCG(3, 4)),
		slowdown: func(string, int) float64 { return 1 },
	}
	for i := range nodes {
		s := New(fmt.Sprint("n", i), "z", LeastTime, wholeShares, rand.New(rand.NewPCG(1, uint64(i))))
		s.Learn(LearnOn)
		for j := range upstreams {
			s.Put(Upstream{ID: fmt.Sprint("u", j), Service: "s", Zone: "z", Slots: learnedSlots, State: StateReady})
		}
		w.nodes = append(w.nodes, s)
		w.statusAt = append(w.statusAt, epoch.Add(time.Duration(i)*w.interval/time.Duration(nodes)))
	}
	for j := range upstreams {
		w.upstreams = append(w.upstreams, fmt.Sprint("u", j))
	}
	return w
}

// play lets time pass with a number of requests a second from all nodes together, in steps of 10 ms.
func (w *learningWorld) play(d time.Duration, perSecond float64) {
	const step = 10 * time.Millisecond
	w.placed, w.late = make(map[string]int), make(map[string]int)
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(step) {
		w.end()
		for n := range w.nodes {
			if !w.now.Before(w.statusAt[n]) {
				w.statusAt[n] = w.now.Add(w.interval)
				w.publish(n)
			}
		}
		if w.rng.Float64() < perSecond*step.Seconds() {
			w.place(w.rng.IntN(len(w.nodes)))
		}
	}
}

func (w *learningWorld) publish(from int) {
	samples, loads := w.nodes[from].OwnSamples(w.now, 2*w.interval), w.nodes[from].OwnLoads()
	for n, s := range w.nodes {
		if n != from {
			s.SetPeerLoads(fmt.Sprint("n", from), loads)
			s.MergeSamples(w.now, fmt.Sprint("n", from), 1, samples)
		}
	}
}

func (w *learningWorld) place(n int) {
	s := w.nodes[n]
	u, ok := s.Pick(w.now, Query{Service: "s"})
	if !ok {
		return
	}
	w.request++
	took := time.Duration(float64(usualTime) * w.slowdown(u.ID, w.running[u.ID]) * (0.9 + 0.2*w.rng.Float64()))
	s.RecordStart(w.now, u.ID, w.request, Prompt{})
	s.RecordGoals(u.ID, w.request, "route", learnedGoal, 0)
	w.running[u.ID]++
	w.placed[u.ID]++
	if took > learnedGoal {
		w.late[u.ID]++
	}
	w.events = append(w.events, learningEvent{w.now.Add(took), n, u.ID, w.request})
}

// end ends the requests that are answered.
func (w *learningWorld) end() {
	left := w.events[:0]
	for _, e := range w.events {
		if w.now.Before(e.at) {
			left = append(left, e)
			continue
		}
		w.running[e.id]--
		w.nodes[e.node].RecordEnd(w.now, e.id, e.request, Succeeded)
	}
	w.events = left
}

// TestNodesLearnTogether: each of many nodes sees hardly a sample of an upstream a minute, and all
// act on the same ones. They find the slow upstream without swinging: in no second does it get as much
// as its even part, and at most 5 in 100 answers are late.
func TestNodesLearnTogether(t *testing.T) {
	for _, nodes := range []int{7, 90, 340} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			c := qt.New(t)
			w := newLearningWorld(nodes, 4)
			w.slowdown = func(id string, _ int) float64 {
				if id == "u0" {
					return 3
				}
				return 1
			}
			const perSecond = 40
			// Each node first has to learn the usual time.
			w.play(10*time.Second+time.Duration(nodes)*300*time.Millisecond, perSecond)
			placed, late := 0, 0
			lowest, highest := perSecond, 0
			for range 20 {
				w.play(time.Second, perSecond)
				for id, n := range w.placed {
					placed, late = placed+n, late+w.late[id]
				}
				lowest, highest = min(lowest, w.placed["u0"]), max(highest, w.placed["u0"])
			}
			c.Logf("slow upstream gets %d to %d a second, %d of %d late", lowest, highest, late, placed)
			c.Assert(float64(late) <= 0.05*float64(placed), qt.IsTrue, qt.Commentf("%d of %d", late, placed))
			c.Assert(highest < perSecond/len(w.upstreams), qt.IsTrue, qt.Commentf("%d", highest))
			// Once it has recovered, it has its part again.
			w.slowdown = func(string, int) float64 { return 1 }
			w.play(2*time.Second+2*w.interval, perSecond)
			w.play(2*time.Second, perSecond)
			c.Logf("after recovery it gets %d in 2 s", w.placed["u0"])
			c.Assert(w.placed["u0"] >= perSecond*2/4/2, qt.IsTrue, qt.Commentf("%d", w.placed["u0"]))
		})
	}
}

// TestNothingIsLearnedIfOff: deployments that don't ask for it share and cost nothing.
func TestNothingIsLearnedIfOff(t *testing.T) {
	c := qt.New(t)
	w := newLearningWorld(3, 3)
	for _, s := range w.nodes {
		s.Learn(LearnReported)
	}
	w.slowdown = func(id string, _ int) float64 { return 3 }
	w.play(5*time.Second, 30)
	for _, s := range w.nodes {
		// No upstream reports how long work takes there.
		c.Assert(s.Capacities(w.now), qt.HasLen, 0)
		c.Assert(s.OwnSamples(w.now, time.Minute), qt.IsNil)
		s.RecordReport(w.now, "u0", Report{Slowdown: 1})
	}
	w.play(5*time.Second, 30)
	c.Assert(w.nodes[0].Capacities(w.now), qt.Not(qt.HasLen), 0)
	w.nodes[0].Learn(LearnOff)
	c.Assert(w.nodes[0].Capacities(w.now), qt.HasLen, 0)
}

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

package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
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

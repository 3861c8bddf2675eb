package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const testSlots = 12

// contendedNodes returns nodes that know the same of engines: all run as many requests as they have
// slots but one, which runs fewer. Each node has been asked for perSecond requests a second lately.
func contendedNodes(nodes, engines, free int, perSecond float64) []*Set {
	sets := make([]*Set, nodes)
	for i := range sets {
		s := New(fmt.Sprint("n", i), "z", LeastTime, wholeShares, rand.New(rand.NewPCG(1, uint64(i))))
		loads := make(map[string]UpstreamLoad)
		for e := range engines {
			id := fmt.Sprint("u", e)
			s.Put(Upstream{ID: id, Service: "s", Zone: "z", State: StateReady})
			running := testSlots
			if e == 0 {
				running -= free
			}
			loads[id] = UpstreamLoad{Running: running, Memory: 1000 * running}
		}
		// A status to each peer every 250 ms, or every 10 ms a peer if that is longer.
		s.SetPeerLoadAge(max(250*time.Millisecond, time.Duration(nodes)*10*time.Millisecond)/2 + 100*time.Millisecond)
		for n := range int(perSecond * arrivalDecay.Seconds()) {
			p := prompt("earlier", 500, 500+n)
			id, number := fmt.Sprint("u", n%engines), uint64(n)
			s.RecordStart(epoch.Add(-600*time.Millisecond), id, number, p)
			s.RecordEnd(epoch, id, number, Succeeded)
		}
		for peer := range nodes - 1 {
			if peer == 0 {
				s.SetPeerLoads("p0", loads)
			} else {
				s.SetPeerLoads(fmt.Sprint("p", peer), nil)
			}
		}
		sets[i] = s
	}
	return sets
}

func contendedQuery(n int) Query {
	return Query{Service: "s", Prompt: prompt(fmt.Sprint("own", n), 0, 1000), Slots: testSlots, MemoryTokens: 500_000, MaxWait: 340 * time.Millisecond}
}

// TestNodesDoNotFollowOneFreeSlot: all engines are full, and one of them has a few free slots in
// the picture that all nodes have. If all nodes send it what they have waiting, it gets many
// times what it has room for, and its requests miss their goals while the next one idles.
func TestNodesDoNotFollowOneFreeSlot(t *testing.T) {
	c := qt.New(t)
	for _, nodes := range []int{17, 90, 340} {
		placed := make(map[string]int)
		for i, s := range contendedNodes(nodes, 40, 2, 400/float64(nodes)) {
			u, ok := s.Pick(epoch, contendedQuery(i))
			c.Assert(ok, qt.IsTrue)
			placed[u.ID]++
		}
		// Twice its part, and what its slots and its queue have room for.
		most := 2*nodes/40 + 2 + int(queueFraction*testSlots)
		c.Assert(placed["u0"] <= most, qt.IsTrue, qt.Commentf("%d nodes: %d at the one with free slots", nodes, placed["u0"]))
	}
}

// TestFullEnginesQueueWithinTheGoal: with all slots occupied a bounded number of requests waits at
// the engines, which admit them by urgency, but none whose goal can't be met there.
func TestFullEnginesQueueWithinTheGoal(t *testing.T) {
	c := qt.New(t)
	s := contendedNodes(20, 4, 0, 20)[0]
	q := contendedQuery(1)
	_, ok := s.Pick(epoch, q)
	c.Assert(ok, qt.IsTrue)
	// A slot becomes free every 600/12 = 50 ms.
	q.MaxWait = 30 * time.Millisecond
	_, ok = s.Pick(epoch, q)
	c.Assert(ok, qt.IsFalse)
	loads := make(map[string]UpstreamLoad)
	for e := range 4 {
		loads[fmt.Sprint("u", e)] = UpstreamLoad{Running: testSlots + int(queueFraction*testSlots)}
	}
	s.SetPeerLoads("p0", loads)
	_, ok = s.Pick(epoch, contendedQuery(1))
	c.Assert(ok, qt.IsFalse)
}

// TestNodeWithoutPeersKnowsTheLoad: a node that places all requests itself knows which slots are
// free, so costs get no larger random addition and nothing waits at the engines.
func TestNodeWithoutPeersKnowsTheLoad(t *testing.T) {
	c := qt.New(t)
	s := contendedNodes(1, 4, 0, 20)[0]
	c.Assert(s.maxJitter(epoch, contendedQuery(1)), qt.Equals, minJitter)
	c.Assert(s.engineCapacity("s", testSlots), qt.Equals, testSlots)
}

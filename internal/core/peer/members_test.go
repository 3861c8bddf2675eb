package peer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var membersStart = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// network delivers messages between views without delay. Silent members neither
// send nor receive.
type network struct {
	views  map[string]*Members
	silent map[string]bool
	now    time.Time
}

func newNetwork(n int) *network {
	net := &network{views: make(map[string]*Members), silent: make(map[string]bool), now: membersStart}
	var all []Member
	for i := range n {
		m := Member{ID: fmt.Sprintf("m%d", i), Zone: fmt.Sprintf("z%d", i%3), State: Alive}
		all = append(all, m)
		net.views[m.ID] = New(m, rand.New(rand.NewPCG(uint64(i), 1)), DefaultTiming())
	}
	for _, v := range net.views {
		for _, m := range all {
			v.Merge(net.now, m)
		}
	}
	return net
}

func (n *network) deliver(from string, out []Outgoing) {
	for _, o := range out {
		if v := n.views[o.To]; v != nil && !n.silent[o.To] && !n.silent[from] {
			n.deliver(o.To, v.Receive(n.now, from, o.Message))
		}
	}
}

func (n *network) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); n.now = n.now.Add(50 * time.Millisecond) {
		for i := range len(n.views) {
			id := fmt.Sprintf("m%d", i)
			if !n.silent[id] {
				n.deliver(id, n.views[id].Tick(n.now))
			}
		}
	}
}

// states returns the number of other members per state in which they see the
// member.
func (n *network) states(id string) map[State]int {
	counts := make(map[State]int)
	for other, v := range n.views {
		if other != id && !n.silent[other] {
			m, _ := v.Get(id)
			counts[m.State]++
		}
	}
	return counts
}

func TestSilentMemberIsSuspectedThenDead(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(7)
	n.run(2 * time.Second)
	c.Assert(n.states("m3"), qt.DeepEquals, map[State]int{Alive: 6})
	n.silent["m3"] = true
	n.run(1200 * time.Millisecond)
	c.Assert(n.states("m3")[Dead], qt.Equals, 0)
	n.run(5 * time.Second)
	c.Assert(n.states("m3"), qt.DeepEquals, map[State]int{Dead: 6})
}

// TestSlowMemberRefutes keeps a member silent for less than SuspectTimeout, so
// that it stays alive.
func TestSlowMemberRefutes(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(7)
	n.run(2 * time.Second)
	n.silent["m3"] = true
	n.run(1200 * time.Millisecond)
	n.silent["m3"] = false
	n.run(6 * time.Second)
	c.Assert(n.states("m3"), qt.DeepEquals, map[State]int{Alive: 6})
}

// TestDeadMemberRejoins lets a member respond again after the others have
// marked it as dead.
func TestDeadMemberRejoins(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(7)
	n.silent["m3"] = true
	n.run(10 * time.Second)
	c.Assert(n.states("m3"), qt.DeepEquals, map[State]int{Dead: 6})
	n.silent["m3"] = false
	n.run(30 * time.Second)
	c.Assert(n.states("m3"), qt.DeepEquals, map[State]int{Alive: 6})
}

func TestLeavingIsNotReverted(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(5)
	n.views["m2"].MarkSelfLeaving()
	n.run(8 * time.Second)
	c.Assert(n.states("m2"), qt.DeepEquals, map[State]int{Leaving: 4})
	for _, v := range n.views {
		v.Merge(n.now, Member{ID: "m2", State: Alive, Zone: "z2"})
	}
	n.run(3 * time.Second)
	c.Assert(n.states("m2"), qt.DeepEquals, map[State]int{Leaving: 4})
}

// TestRankMovesFewKeys removes one of many members and checks that only the keys
// that preferred it get another preferred member.
func TestRankMovesFewKeys(t *testing.T) {
	c := qt.New(t)
	var members []Member
	for i := range 50 {
		members = append(members, Member{ID: fmt.Sprintf("m%d", i)})
	}
	moved, preferred := 0, 0
	for k := range 5000 {
		key := fmt.Sprint(k)
		before, _ := Preferred(key, members)
		after, _ := Preferred(key, members[1:])
		if before.ID == "m0" {
			preferred++
		} else if before.ID != after.ID {
			moved++
		}
	}
	c.Assert(moved, qt.Equals, 0)
	c.Assert(preferred > 50 && preferred < 150, qt.IsTrue, qt.Commentf("%d", preferred))
}

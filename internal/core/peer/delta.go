package peer

import (
	"math/bits"
	"slices"
	"sort"
	"time"
)

const (
	// deltasPerMessage bounds the number of member states in one message.
	deltasPerMessage = 6
	// deltaRetransmitFactor, multiplied by log2 of the number of members, is the
	// number of messages that carry a delta.
	deltaRetransmitFactor = 3
)

// delta records the number of times that the state of a member has been sent.
type delta struct {
	id   string
	sent int
}

// Changes returns the members whose state has changed since the last call of
// Changes.
func (m *Members) Changes() []Member {
	c := m.changes
	m.changes = nil
	return c
}

func (m *Members) mergeAll(now time.Time, members []Member) {
	for _, x := range members {
		m.Merge(now, x)
	}
}

func (m *Members) queueDelta(id string) {
	for i := range m.deltas {
		if m.deltas[i].id == id {
			m.deltas[i].sent = 0
			return
		}
	}
	m.deltas = append(m.deltas, delta{id: id})
}

// takeDeltas returns the states to send to a member, the least often sent ones
// first. If the receiver is suspect or dead in this view, its own state is
// included so that it can refute it.
func (m *Members) takeDeltas(to string) []Member {
	var out []Member
	if e, ok := m.entries[to]; ok && (e.member.State == Suspect || e.member.State == Dead) {
		out = append(out, e.member, m.self)
	}
	limit := deltaRetransmitFactor * bits.Len(uint(len(m.entries)+1))
	sort.SliceStable(m.deltas, func(i, j int) bool { return m.deltas[i].sent < m.deltas[j].sent })
	for i := 0; i < len(m.deltas) && len(out) < deltasPerMessage; i++ {
		d := &m.deltas[i]
		d.sent++
		if x, ok := m.Get(d.id); ok && d.id != to {
			out = append(out, x)
		}
	}
	m.deltas = slices.DeleteFunc(m.deltas, func(d delta) bool { return d.sent >= limit })
	return out
}

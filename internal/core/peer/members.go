package peer

import (
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"
)

// Timing holds the intervals and timeouts of the membership protocol.
type Timing struct {
	// ProbeInterval is the interval between two probes.
	ProbeInterval time.Duration
	// ProbeTimeout is the time after which a direct probe without an
	// acknowledgement is followed by indirect probes.
	ProbeTimeout time.Duration
	// SuspectTimeout is the time within which a suspect must refute its state.
	SuspectTimeout time.Duration
	// DeadRetention is the retention period of the record of a dead member.
	DeadRetention time.Duration
}

// DefaultTiming returns the timing for nodes of one region.
func DefaultTiming() Timing {
	return Timing{
		ProbeInterval:  500 * time.Millisecond,
		ProbeTimeout:   200 * time.Millisecond,
		SuspectTimeout: 1500 * time.Millisecond,
		DeadRetention:  10 * time.Minute,
	}
}

type entry struct {
	member      Member
	suspectedAt time.Time
	deadAt      time.Time
	deadProbes  int
}

// Members is one node's view of all nodes. It is not safe for concurrent use.
type Members struct {
	self       Member
	timing     Timing
	rng        *rand.Rand
	entries    map[string]*entry
	probeOrder []string
	nextIndex  int
	round      int
	seq        uint64
	probe      *probe
	lastProbe  time.Time
	relayed    map[uint64]relay
	deltas     []delta
	changes    []Member

	// all and usable cache the lists of members until the next change;
	// suspectOrDead is the number of members that are suspect or dead.
	all           []Member
	usable        []Member
	suspectOrDead int
}

// New returns a view that contains only self.
func New(self Member, rng *rand.Rand, timing Timing) *Members {
	self.State = Alive
	m := &Members{
		self:    self,
		timing:  timing,
		rng:     rng,
		entries: make(map[string]*entry),
		relayed: make(map[uint64]relay),
	}
	m.queueDelta(self.ID)
	return m
}

// Self returns this node's own record.
func (m *Members) Self() Member { return m.self }

// Get returns the record of a member, self included.
func (m *Members) Get(id string) (Member, bool) {
	if id == m.self.ID {
		return m.self, true
	}
	e, ok := m.entries[id]
	if !ok {
		return Member{}, false
	}
	return e.member, true
}

// All returns every known member including self, sorted by ID. The returned
// slice must not be modified.
func (m *Members) All() []Member {
	m.refresh()
	return m.all
}

// Usable returns the members that may receive new work, sorted by ID. It
// includes self unless self is leaving. The returned slice must not be
// modified.
func (m *Members) Usable() []Member {
	m.refresh()
	return m.usable
}

// refresh rebuilds the cached lists after a change.
func (m *Members) refresh() {
	if m.all != nil {
		return
	}
	m.all = []Member{m.self}
	for _, e := range m.entries {
		m.all = append(m.all, e.member)
	}
	sort.Slice(m.all, func(i, j int) bool { return m.all[i].ID < m.all[j].ID })
	m.usable = nil
	m.suspectOrDead = 0
	for _, x := range m.all {
		if x.Usable() {
			m.usable = append(m.usable, x)
		}
		if x.State == Suspect || x.State == Dead {
			m.suspectOrDead++
		}
	}
}

// invalidate discards the cached lists.
func (m *Members) invalidate() { m.all = nil }

// Dead returns the members that became dead within DeadRetention, which
// includes those that left.
func (m *Members) Dead() []Member {
	m.refresh()
	if m.suspectOrDead == 0 {
		return nil
	}
	var dead []Member
	for _, x := range m.all {
		if x.State == Dead {
			dead = append(dead, x)
		}
	}
	return dead
}

// IsDead reports whether the member is known to be dead. It returns false for
// an unknown member.
func (m *Members) IsDead(id string) bool {
	e, ok := m.entries[id]
	return ok && e.member.State == Dead
}

// MarkSelfLeaving marks self as leaving and queues the change for the other members.
func (m *Members) MarkSelfLeaving() {
	if m.self.State == Leaving {
		return
	}
	m.self.State = Leaving
	m.self.Incarnation++
	m.invalidate()
	m.queueDelta(m.self.ID)
}

// MarkSelfDead marks self as dead, so that the other members don't have to detect
// the end of the process.
func (m *Members) MarkSelfDead() {
	m.self.State = Dead
	m.self.Incarnation++
	m.invalidate()
}

// Merge merges a record of a member that was received from any source.
func (m *Members) Merge(now time.Time, member Member) {
	if member.ID == m.self.ID {
		m.refute(member)
		return
	}
	e, ok := m.entries[member.ID]
	if ok && !member.Overrides(e.member) {
		return
	}
	if !ok {
		e = &entry{}
		m.entries[member.ID] = e
		m.probeOrder = append(m.probeOrder, member.ID)
		m.shuffleLast()
	}
	changed := e.member.State != member.State
	e.member = member
	m.invalidate()
	m.recordTransition(now, e)
	m.queueDelta(member.ID)
	if changed {
		m.changes = append(m.changes, member)
	}
}

// refute raises self's incarnation above that of a wrong state of self received
// from another member.
func (m *Members) refute(claimed Member) {
	if claimed.Incarnation < m.self.Incarnation || claimed.State == m.self.State && claimed.Incarnation == m.self.Incarnation {
		return
	}
	m.self.Incarnation = claimed.Incarnation + 1
	m.invalidate()
	m.queueDelta(m.self.ID)
}

func (m *Members) recordTransition(now time.Time, e *entry) {
	switch e.member.State {
	case Suspect:
		e.suspectedAt = now
	case Dead:
		e.deadAt = now
	}
}

// expire marks suspects that did not refute within SuspectTimeout as dead, and
// removes members that have been dead for DeadRetention.
func (m *Members) expire(now time.Time) {
	m.refresh()
	if m.suspectOrDead == 0 {
		return
	}
	for _, id := range slices.Clone(m.probeOrder) {
		e := m.entries[id]
		switch {
		case e.member.State == Suspect && now.Sub(e.suspectedAt) >= m.timing.SuspectTimeout:
			dead := e.member
			dead.State = Dead
			m.Merge(now, dead)
		case e.member.State == Dead && now.Sub(e.deadAt) >= m.timing.DeadRetention:
			m.remove(id)
		}
	}
}

func (m *Members) remove(id string) {
	delete(m.entries, id)
	m.invalidate()
	m.probeOrder = slices.DeleteFunc(m.probeOrder, func(x string) bool { return x == id })
}

// String lists the members and their states, for logs and tests.
func (m *Members) String() string {
	var b strings.Builder
	for _, x := range m.All() {
		b.WriteString(x.ID + "=" + string(x.State) + " ")
	}
	return strings.TrimSpace(b.String())
}

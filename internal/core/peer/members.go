package peer

import (
	"math/bits"
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

const (
	// indirectProbes is the number of members that are requested to probe a
	// member that did not acknowledge a direct probe.
	indirectProbes = 2
	// deltasPerMessage bounds the number of member states in one message.
	deltasPerMessage = 6
	// deltaRetransmitFactor, multiplied by log2 of the number of members, is the
	// number of messages that carry a delta.
	deltaRetransmitFactor = 3
	// deadProbeRounds is the interval between two probes of dead members, in
	// rounds.
	deadProbeRounds = 8
	// maxDeadProbes bounds the number of probes of a dead member.
	maxDeadProbes = 64
)

// Outgoing is a message to send to the member with ID To.
type Outgoing struct {
	To      string
	Message Message
}

type entry struct {
	member      Member
	suspectedAt time.Time
	deadAt      time.Time
	deadProbes  int
}

type probe struct {
	seq      uint64
	target   string
	sentAt   time.Time
	indirect bool
	acked    bool
}

// relay records the requester of an indirect probe and the requester's sequence
// number.
type relay struct {
	from string
	seq  uint64
}

// delta records the number of times that the state of a member has been sent.
type delta struct {
	id   string
	sent int
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

// Changes returns the members whose state has changed since the last call of
// Changes.
func (m *Members) Changes() []Member {
	c := m.changes
	m.changes = nil
	return c
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

// MarkUnreachable marks a member that is alive in this view as suspect, after a
// connection to it failed or it did not acknowledge a probe.
func (m *Members) MarkUnreachable(now time.Time, id string) {
	e, ok := m.entries[id]
	if !ok || e.member.State != Alive {
		return
	}
	suspect := e.member
	suspect.State = Suspect
	m.Merge(now, suspect)
}

// Tick expires old states and returns the probes due at now.
func (m *Members) Tick(now time.Time) []Outgoing {
	m.expire(now)
	out := m.probeIndirectly(now)
	if now.Sub(m.lastProbe) < m.timing.ProbeInterval {
		return out
	}
	m.concludeProbe(now)
	m.lastProbe = now
	target := m.nextTarget()
	if target == "" {
		return out
	}
	m.seq++
	m.probe = &probe{seq: m.seq, target: target, sentAt: now}
	return append(out, Outgoing{To: target, Message: Ping{Seq: m.seq, Members: m.takeDeltas(target)}})
}

// Receive handles a membership message and returns the messages to send in
// response.
func (m *Members) Receive(now time.Time, from string, msg Message) []Outgoing {
	switch msg := msg.(type) {
	case Ping:
		m.mergeAll(now, msg.Members)
		return []Outgoing{{To: from, Message: Ack{Seq: msg.Seq, Members: m.takeDeltas(from)}}}
	case Ack:
		m.mergeAll(now, msg.Members)
		return m.receiveAck(now, from, msg)
	case PingRequest:
		m.mergeAll(now, msg.Members)
		m.seq++
		m.relayed[m.seq] = relay{from: from, seq: msg.Seq}
		return []Outgoing{{To: msg.Target, Message: Ping{Seq: m.seq, Members: m.takeDeltas(msg.Target)}}}
	}
	return nil
}

func (m *Members) receiveAck(now time.Time, from string, msg Ack) []Outgoing {
	if r, ok := m.relayed[msg.Seq]; ok {
		delete(m.relayed, msg.Seq)
		return []Outgoing{{To: r.from, Message: Ack{Seq: r.seq, Members: m.takeDeltas(r.from)}}}
	}
	if m.probe != nil && m.probe.seq == msg.Seq {
		m.probe.acked = true
	}
	return nil
}

func (m *Members) mergeAll(now time.Time, members []Member) {
	for _, x := range members {
		m.Merge(now, x)
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

func (m *Members) probeIndirectly(now time.Time) []Outgoing {
	p := m.probe
	if p == nil || p.acked || p.indirect || now.Sub(p.sentAt) < m.timing.ProbeTimeout {
		return nil
	}
	p.indirect = true
	var out []Outgoing
	for _, i := range m.rng.Perm(len(m.probeOrder)) {
		id := m.probeOrder[i]
		if id == p.target || m.entries[id].member.State == Dead {
			continue
		}
		out = append(out, Outgoing{To: id, Message: PingRequest{Seq: p.seq, Target: p.target, Members: m.takeDeltas(id)}})
		if len(out) == indirectProbes {
			break
		}
	}
	return out
}

// concludeProbe marks the target of an unacknowledged probe as suspect, or as
// dead if it was leaving.
func (m *Members) concludeProbe(now time.Time) {
	p := m.probe
	m.probe = nil
	if p == nil || p.acked {
		return
	}
	e, ok := m.entries[p.target]
	if !ok {
		return
	}
	switch e.member.State {
	case Alive:
		m.MarkUnreachable(now, p.target)
	case Leaving:
		dead := e.member
		dead.State = Dead
		m.Merge(now, dead)
	}
}

func (m *Members) nextTarget() string {
	m.round++
	if m.round%deadProbeRounds == 0 {
		if id := m.deadTarget(); id != "" {
			return id
		}
	}
	for range m.probeOrder {
		if m.nextIndex >= len(m.probeOrder) {
			m.nextIndex = 0
			m.rng.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
		}
		id := m.probeOrder[m.nextIndex]
		m.nextIndex++
		if m.entries[id].member.State != Dead {
			return id
		}
	}
	return ""
}

func (m *Members) deadTarget() string {
	var dead []string
	for _, id := range m.probeOrder {
		e := m.entries[id]
		if e.member.State == Dead && e.deadProbes < maxDeadProbes {
			dead = append(dead, id)
		}
	}
	if len(dead) == 0 {
		return ""
	}
	id := dead[m.rng.IntN(len(dead))]
	m.entries[id].deadProbes++
	return id
}

// shuffleLast swaps the newest member, the last of the probe order, with the
// member at a random position.
func (m *Members) shuffleLast() {
	last := len(m.probeOrder) - 1
	i := m.rng.IntN(last + 1)
	m.probeOrder[i], m.probeOrder[last] = m.probeOrder[last], m.probeOrder[i]
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

// String lists the members and their states, for logs and tests.
func (m *Members) String() string {
	var b strings.Builder
	for _, x := range m.All() {
		b.WriteString(x.ID + "=" + string(x.State) + " ")
	}
	return strings.TrimSpace(b.String())
}

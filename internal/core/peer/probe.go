package peer

import "time"

const (
	// indirectProbes is the number of members that are requested to probe a
	// member that did not acknowledge a direct probe.
	indirectProbes = 2
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

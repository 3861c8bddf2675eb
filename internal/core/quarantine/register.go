package quarantine

import (
	"math"
	"time"
)

const (
	// crashRetention is the time for which a crash is evidence against a trait
	// that is not quarantined.
	crashRetention = time.Minute
	// holdRetention is the time after the last crash for which a trait stays
	// quarantined if no probe decides. It exceeds maxProbeInterval.
	holdRetention = 15 * time.Minute
	// LifeMargin is the time after a crash in which answers that were on their way
	// may still arrive.
	LifeMargin = 500 * time.Millisecond
	// sameCrash is the time within which nodes observe the same crash.
	sameCrash = time.Second
	// refuteWindow is the time after a crash from which on the upstream may be back.
	refuteWindow = 2 * time.Second
	// soundHalfLife is the half-life of the number of sound runs before a crash.
	soundHalfLife = 30 * time.Second
	// maxSoundBefore bounds the weight of sound runs before the first crash.
	maxSoundBefore = 6
	// maxEntries bounds the traits with a crash, maxSoundTraits those without one
	// whose sound runs are counted.
	maxEntries     = 20_000
	maxSoundTraits = 20_000
	// maxReported bounds the traits that are not quarantined in a report to the
	// other nodes, and recentCrash the age of a single crash that is in it.
	maxReported = 16
	recentCrash = 3 * time.Second
	// maxReportedCrashes bounds the crashes of a trait in a report, the latest first.
	maxReportedCrashes = 8
)

// Register holds the evidence of all nodes.
type Register struct {
	entries map[Trait]*entry
	// crashes holds the involvements in each crash by the ID of the process.
	crashes map[uint64]map[Trait]*involvement
	// alive holds when each upstream's process last answered this node, asked when a
	// peer last reported that attempts broke there.
	alive, asked map[uint64]time.Time
	// sound counts the recent sound runs of traits without a crash.
	sound map[Trait]*decayingCount
}

// decayingCount is a number that decays with soundHalfLife.
type decayingCount struct {
	n  float64
	at time.Time
}

func (c *decayingCount) value(now time.Time) float64 {
	return c.n * math.Exp2(-float64(now.Sub(c.at))/float64(soundHalfLife))
}

// New returns a Register without evidence.
func New() *Register {
	return &Register{
		entries: make(map[Trait]*entry), crashes: make(map[uint64]map[Trait]*involvement),
		alive: make(map[uint64]time.Time), asked: make(map[uint64]time.Time), sound: make(map[Trait]*decayingCount),
	}
}

// RecordCrash records that an attempt with the traits broke at an upstream's
// process.
func (r *Register) RecordCrash(now time.Time, id uint64, traits []Trait, sign Sign) {
	for depth, t := range traits {
		r.involve(now, t, depth, id, involvement{at: now, head: sign == SignHead})
	}
}

// involve records the part of a trait in a crash.
func (r *Register) involve(now time.Time, t Trait, depth int, id uint64, part involvement) {
	e := r.entry(now, t)
	if e == nil {
		return
	}
	e.depth = max(e.depth, depth)
	if i := e.crashes[id]; i != nil {
		i.add(part)
		return
	}
	e.crashes[id] = &part
	if r.crashes[id] == nil {
		r.crashes[id] = make(map[Trait]*involvement)
	}
	r.crashes[id][t] = &part
}

// entry returns the entry of a trait, and adds it unless there are too many.
func (r *Register) entry(now time.Time, t Trait) *entry {
	e := r.entries[t]
	if e == nil && len(r.entries) < maxEntries {
		e = &entry{trait: t, crashes: make(map[uint64]*involvement), peers: make(map[string]soundRuns)}
		if s := r.sound[t]; s != nil {
			e.before = s.value(now)
			delete(r.sound, t)
		}
		r.entries[t] = e
	}
	return e
}

// RecordSound records a run with the traits that went on beyond the begin of its
// answer. A probe releases those that are quarantined.
func (r *Register) RecordSound(now time.Time, traits []Trait, probe bool) {
	for _, t := range traits {
		if e := r.entries[t]; e != nil {
			e.recordSound(probe)
			continue
		}
		if !t.IsContent() {
			r.countSound(now, t)
		}
	}
}

func (e *entry) recordSound(probe bool) {
	e.since++
	if !probe || !e.quarantined {
		return
	}
	for _, i := range e.crashes {
		i.cleared = true
	}
}

func (r *Register) countSound(now time.Time, t Trait) {
	s := r.sound[t]
	if s == nil {
		if len(r.sound) >= maxSoundTraits {
			return
		}
		s = &decayingCount{at: now}
		r.sound[t] = s
	}
	s.n, s.at = s.value(now)+1, now
}

// RecordLife records that an upstream's process has answered. If it is suspected
// to have crashed shortly before, it has not.
func (r *Register) RecordLife(now time.Time, id uint64) {
	r.alive[id] = now
	r.refute(now, id)
}

// Refute refutes the crashes of a process since a time: the connections to it broke for
// another cause.
func (r *Register) Refute(since time.Time, id uint64) {
	for _, i := range r.crashes[id] {
		if !i.at.Before(since) {
			i.refuted = true
		}
	}
}

// refute refutes the crashes shortly before a process answered.
func (r *Register) refute(answered time.Time, id uint64) {
	for _, i := range r.crashes[id] {
		if age := answered.Sub(i.at); age > LifeMargin && age < refuteWindow {
			i.refuted = true
		}
	}
}

// Prune removes expired evidence.
func (r *Register) Prune(now time.Time) {
	for t, e := range r.entries {
		r.expireCrashes(now, e)
		if len(e.crashes) > 0 {
			continue
		}
		delete(r.entries, t)
		if n := e.before + float64(e.since); !t.IsContent() && n > 0 {
			r.sound[t] = &decayingCount{n: min(n, maxSoundBefore), at: now}
		}
	}
	expire(r.alive, now, refuteWindow)
	expire(r.asked, now, refuteWindow)
	for t, s := range r.sound {
		if now.Sub(s.at) > crashRetention {
			delete(r.sound, t)
		}
	}
}

// expire removes the times that are older than an age.
func expire(times map[uint64]time.Time, now time.Time, age time.Duration) {
	for id, at := range times {
		if now.Sub(at) > age {
			delete(times, id)
		}
	}
}

// expireCrashes removes a trait's crashes that are too old; those of a quarantined
// trait expire together.
func (r *Register) expireCrashes(now time.Time, e *entry) {
	if e.quarantined && now.Sub(e.lastCrash()) < holdRetention {
		return
	}
	for id, i := range e.crashes {
		if now.Sub(i.at) <= crashRetention {
			continue
		}
		delete(e.crashes, id)
		delete(r.crashes[id], e.trait)
		if len(r.crashes[id]) == 0 {
			delete(r.crashes, id)
		}
	}
	e.quarantined = e.quarantined && len(e.crashes) > 0
}

// RemovePeer removes the sound runs of a former peer.
func (r *Register) RemovePeer(node string) {
	for _, e := range r.entries {
		delete(e.peers, node)
	}
}

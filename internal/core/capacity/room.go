package capacity

import "time"

const (
	// minRoom is the least room, as a fraction of the slots.
	minRoom = 1.0 / 8
	// roomCut is the part of the load at which answers missed their goal that becomes the room.
	roomCut = 0.8
	// minRoomStep is the first increase of the room, as a fraction of the slots. Each sample in
	// time doubles it.
	minRoomStep = 1.0 / 32
	// probeStep is the part of the slots by which the room exceeds the ceiling to find out
	// whether that still holds.
	probeStep = 1.0 / 16
	// probeDelay is the time after a decrease in which the room stays below the ceiling.
	probeDelay = time.Second
	// maxMisses is the number of missed goals, less those met, beyond which the room is lowered.
	// Older ones count less: half after roomMemory.
	maxMisses = 3
	// roomMemory is the time after which half of the missing room is given back if no samples
	// arrive.
	roomMemory = 8 * time.Second
)

// room is the part of an upstream's slots up to which it takes work well. It is raised additively
// and lowered multiplicatively. A decrease goes by the load at which a sample was dispatched, not by
// the room at the moment: samples that were dispatched before the decrease was known, here or at
// other nodes, do not lower the room again.
type room struct {
	limit, step float64
	// ceiling is the lowest load at which answers have missed their goal, 1 if none is known.
	ceiling float64
	// misses is the number of missed goals, less those met, as of latest.
	misses float64
	cutAt  time.Time
	latest time.Time
}

func newRoom() room { return room{limit: 1, step: minRoomStep, ceiling: 1} }

// missed takes a sample that missed its goal.
func (r *room) missed(s Sample) {
	r.age(s.At)
	if s.Load > r.limit || s.Load < minRoom {
		// More than the room was placed there: that it is late is no news. Nearly idle, the
		// upstream is slow at any load, which is not a matter of its room.
		return
	}
	r.misses++
	if r.misses <= maxMisses {
		return
	}
	r.misses = 0
	r.ceiling = max(s.Load, minRoom)
	r.limit = max(roomCut*s.Load, minRoom)
	r.step = minRoomStep
	r.cutAt = s.At
}

// met takes a sample that met its goal, or missed it for another reason than its upstream.
func (r *room) met(s Sample) {
	r.age(s.At)
	r.misses = max(r.misses-1, 0)
	if s.Load >= r.ceiling {
		r.ceiling = 1
	}
	if r.limit >= 1 || s.Load < r.limit/2 && r.limit > 2*minRoom {
		return
	}
	highest := r.ceiling
	if highest < 1 && s.At.Sub(r.cutAt) >= probeDelay {
		highest = min(r.ceiling+probeStep, 1)
	}
	if r.limit >= highest {
		return
	}
	r.limit = min(r.limit+r.step, highest)
	r.step *= 2
	if r.limit >= r.ceiling {
		r.step = minRoomStep
	}
}

// age gives back room for the time without samples, and lets missed goals count less.
func (r *room) age(at time.Time) {
	if !at.After(r.latest) {
		return
	}
	r.misses *= halved(at.Sub(r.latest), roomMemory)
	r.limit, r.latest = r.left(at), at
}

// left returns the room at a time.
func (r *room) left(now time.Time) float64 {
	if r.limit >= 1 {
		return 1
	}
	return 1 - (1-r.limit)*halved(now.Sub(r.latest), roomMemory)
}

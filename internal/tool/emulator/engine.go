package emulator

import (
	"time"

	"monsoonlanding/internal/core/placement"
)

// Speed of an engine and a plain service.
const (
	// prefillRate is the usual rate at which an engine reads prompts, in tokens
	// a second.
	prefillRate = 68_000
	// step is the time of a step that generates a token for each request of
	// an empty batch; stepSlot is added for each request in it.
	step     = 3820 * time.Microsecond
	stepSlot = 23 * time.Microsecond
	// firstTime passes between the last prompt token and the first event.
	firstTime = 36 * time.Millisecond
	// engineSlots bounds a batch, engineMemory its tokens.
	engineSlots  = 64
	engineMemory = 700_000
	// plainWork is the time of a plain request, plainSlots how many run at once.
	plainWork  = 60 * time.Millisecond
	plainSlots = 6
	// keptFor is how long an engine keeps a shared part that is not used.
	keptFor = 30 * time.Second
)

// upstream is an engine or a plain service.
type upstream struct {
	placement.Upstream
	lost    bool
	running int
	// prefillRate is the prompt tokens that an engine reads in a second.
	prefillRate float64
	// readUntil is when the prompts taken so far are read.
	readUntil time.Time
	// kept holds when a shared part was last used.
	kept map[string]time.Time
	// freeAt is when each slot of a plain service is free.
	freeAt []time.Time
}

func newEngine(id, zone string, rate float64) *upstream {
	return &upstream{
		prefillRate: rate,
		Upstream:    placement.Upstream{ID: id, Service: model, Address: id, Zone: zone, Slots: engineSlots, State: placement.StateReady},
		kept:        make(map[string]time.Time),
	}
}

func newPlain(id, zone string) *upstream {
	return &upstream{
		Upstream: placement.Upstream{ID: id, Service: desk, Address: id, Zone: zone, Slots: plainSlots, State: placement.StateReady},
		freeAt:   make([]time.Time, plainSlots),
	}
}

// full reports whether an engine turns work away.
func (u *upstream) full() bool { return u.kept != nil && u.running >= engineSlots }

// take counts a request in and returns when its answer begins and ends, and
// how many prompt tokens are read for it.
func (u *upstream) take(now time.Time, p placement.Prompt) (began, ended time.Time, read int) {
	u.running++
	if u.kept == nil {
		return u.takePlain(now)
	}
	read = p.Input
	for _, part := range p.Parts[:1] {
		if used, ok := u.kept[part.ID]; ok && now.Sub(used) < keptFor {
			read -= part.Tokens
		}
		u.kept[part.ID] = now
	}
	reading := time.Duration(float64(read) / u.prefillRate * float64(time.Second))
	u.readUntil = later(u.readUntil, now).Add(reading)
	began = u.readUntil.Add(firstTime)
	// Steps wait for the prompts that are read beside them.
	held := u.readUntil.Sub(now) / 2
	each := step + time.Duration(u.running)*stepSlot
	return began, began.Add(time.Duration(p.Output)*each + held), read
}

func (u *upstream) takePlain(now time.Time) (began, ended time.Time, read int) {
	first := 0
	for i, at := range u.freeAt {
		if at.Before(u.freeAt[first]) {
			first = i
		}
	}
	ended = later(u.freeAt[first], now).Add(plainWork)
	u.freeAt[first] = ended
	return ended, ended, 0
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

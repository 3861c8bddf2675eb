package emulator

import (
	"time"

	"monsoonlanding/internal/core/placement"
)

// Latencies and limits of an engine and of a plain service.
const (
	// prefillRate is the default prefill rate of an engine, in tokens per second.
	prefillRate = 68_000
	// tokenTime is the base duration of a step, which generates one token for
	// each request in the batch; tokenTimePerRequest is added per request.
	tokenTime           = 3820 * time.Microsecond
	tokenTimePerRequest = 23 * time.Microsecond
	// paceTime is the time from the begin of an answer until its pace is known.
	paceTime = 200 * time.Millisecond
	// firstEventDelay is the latency from the end of prefill to the first event.
	firstEventDelay = 36 * time.Millisecond
	// engineSlots bounds the requests in a batch, engineMemoryTokens their
	// tokens.
	engineSlots        = 64
	engineMemoryTokens = 700_000
	// plainDuration is the duration of a request to a plain service, plainSlots
	// the number that run at once.
	plainDuration = 60 * time.Millisecond
	plainSlots    = 6
	// cacheRetention is the retention period of a cached shared part that is
	// not used.
	cacheRetention = 30 * time.Second
)

// upstream is an engine or a plain service.
type upstream struct {
	placement.Upstream
	crashed bool
	running int
	// prefillRate is the engine's prefill rate in tokens per second.
	prefillRate float64
	// prefillEnd is when all prompts accepted so far are prefilled.
	prefillEnd time.Time
	// cached holds the time of last use of each cached shared part. It is nil
	// for a plain service.
	cached map[string]time.Time
	// slotFreeAt holds the time at which each slot of a plain service is free.
	slotFreeAt []time.Time
}

func newEngine(id, zone string, rate float64) *upstream {
	return &upstream{
		prefillRate: rate,
		Upstream:    placement.Upstream{ID: id, Service: modelService, Address: id, Zone: zone, Slots: engineSlots, State: placement.StateReady},
		cached:      make(map[string]time.Time),
	}
}

func newPlain(id, zone string) *upstream {
	return &upstream{
		Upstream:   placement.Upstream{ID: id, Service: plainService, Address: id, Zone: zone, Slots: plainSlots, State: placement.StateReady},
		slotFreeAt: make([]time.Time, plainSlots),
	}
}

// full reports whether an engine refuses further requests.
func (u *upstream) full() bool { return u.cached != nil && u.running >= engineSlots }

// accept adds a request and returns when its answer begins and ends, and the
// number of prompt tokens that are prefilled for it. slowdown is how long work
// takes, as a multiple of the usual time.
func (u *upstream) accept(now time.Time, p placement.Prompt, slowdown float64) (begin, end time.Time, prefilled int) {
	u.running++
	if u.cached == nil {
		return u.acceptPlain(now, slowdown)
	}
	prefilled = p.InputTokens
	cached := true
	for _, part := range p.Parts[:len(p.Parts)-1] {
		lastUsed, ok := u.cached[part.ID]
		if cached = cached && ok && now.Sub(lastUsed) < cacheRetention; cached {
			prefilled -= part.Tokens
		}
		u.cached[part.ID] = now
	}
	prefillTime := time.Duration(slowdown * float64(prefilled) / u.prefillRate * float64(time.Second))
	u.prefillEnd = later(u.prefillEnd, now).Add(prefillTime)
	begin = u.prefillEnd.Add(times(firstEventDelay, slowdown))
	// Concurrent prefill delays the generation steps; the model takes half of
	// the duration of the prefill queue.
	prefillDelay := u.prefillEnd.Sub(now) / 2
	perToken := times(tokenTime+time.Duration(u.running)*tokenTimePerRequest, slowdown)
	return begin, begin.Add(time.Duration(p.MaxOutputTokens)*perToken + prefillDelay), prefilled
}

func (u *upstream) acceptPlain(now time.Time, slowdown float64) (begin, end time.Time, prefilled int) {
	earliest := 0
	for i, at := range u.slotFreeAt {
		if at.Before(u.slotFreeAt[earliest]) {
			earliest = i
		}
	}
	end = later(u.slotFreeAt[earliest], now).Add(times(plainDuration, slowdown))
	u.slotFreeAt[earliest] = end
	return end, end, 0
}

// times multiplies a duration.
func times(d time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(d))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

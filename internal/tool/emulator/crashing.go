package emulator

import (
	"fmt"
	"slices"
	"time"

	"monsoonlanding/internal/core/gateway"
	"monsoonlanding/internal/core/placement"
)

// CrashingPart is a part of prompts that crashes each engine that begins to answer
// a request with it. The requests come from one team and at any node; no two are
// the same. The engines are back under other IDs after engineRestartTime.
type CrashingPart struct {
	// Route is the kind of the requests, Rate their number per second.
	Route string
	Rate  float64
	// First is set if the part stands in place of the group, else it stands in
	// place of the prefix.
	First bool
	// Known is set if the part is one of the kind's prefixes, which is sound until
	// From.
	Known bool
	// Sign is what the node gets of the answer that crashes the engine.
	Sign CrashSign
	// From and To are the times of the first and the last such request.
	From, To time.Duration
}

// CrashSign is what arrives of an answer before it breaks off because the engine
// crashes.
type CrashSign string

// Signs of a crash.
const (
	SignNothing CrashSign = "nothing"
	SignHead    CrashSign = "head"
	SignEvent   CrashSign = "event"
)

// id returns the ID of the part.
func (p *CrashingPart) id() string {
	if p.Known {
		return p.Route + "/0"
	}
	return "crashing"
}

// crashes reports whether a request crashes the engine that begins to answer it at
// a time.
func (p *CrashingPart) crashes(at time.Duration, prompt placement.Prompt) bool {
	return p != nil && at >= p.From && hasPart(prompt, p.id())
}

const (
	// crashingTeam sends the requests that crash engines.
	crashingTeam = "team-0"
	// engineRestartTime is the time from a crash until the engine is back.
	engineRestartTime = 4 * time.Second
	// contactTime is the time within which nodes learn of each other's
	// observations, by the users' rules.
	contactTime = 3 * time.Second
)

// scheduleCrashingCallers schedules the requests with the crashing part.
func (s *simulation) scheduleCrashingCallers(p *CrashingPart) {
	i := slices.IndexFunc(s.pattern.Kinds, func(k Kind) bool { return k.Route == p.Route })
	kind := s.pattern.Kinds[i]
	for at := p.From; at < p.To; at += time.Duration(s.rng.ExpFloat64() / p.Rate * float64(time.Second)) {
		c := s.newCaller(kind, at)
		c.team, c.request.Key = crashingTeam, crashingTeam
		position := len(c.request.Prompt.Parts) - 2
		if p.First {
			position = 0
		}
		c.request.Prompt.Parts[position].ID = p.id()
		s.at(c.firstSubmitted, func() { s.submit(c) })
	}
}

func hasPart(p placement.Prompt, id string) bool {
	return slices.ContainsFunc(p.Parts, func(part placement.Part) bool { return part.ID == id })
}

// crashBy crashes an engine that begins to answer a request.
func (s *simulation) crashBy(conn uint64, c *caller, u *upstream) {
	s.oracle.crashing.crashes = append(s.oracle.crashing.crashes, s.now)
	ended := gateway.Ended{Result: gateway.ResultBroken}
	if sign := s.pattern.CrashingPart.Sign; sign != SignNothing {
		ended.Framing = gateway.FramingChunks
		if sign == SignEvent {
			s.reduce(c.node, gateway.Began{Conn: conn, Attempt: c.attempt})
			c.done = true
		}
	}
	s.after(crashDetectionDelay, func() { s.attemptEnded(conn, c, ended) })
	s.crash(u)
	s.after(upstreamListDelay, s.sendUpstreamLists)
	s.after(engineRestartTime, func() {
		restarted := newEngine(fmt.Sprint(u.ID, "'"), u.Zone, u.prefillRate)
		s.add(restarted)
		s.sendUpstreamLists()
	})
}

// crashingOracle records requests with a part that crashes engines, and the sound
// requests of the same route that share its team or the part before it.
type crashingOracle struct {
	part *CrashingPart
	// crashes and arrivals are the times at which engines crashed and at which
	// requests with the part reached engines.
	crashes, arrivals []time.Time
	sound             []*caller
	// begun holds the sound requests that began at the first attempt.
	begun map[*caller]bool
}

func (o *crashingOracle) arrived(now time.Time) { o.arrivals = append(o.arrivals, now) }

// submitted records a caller's first submission.
func (o *crashingOracle) submitted(c *caller) {
	if o.part != nil && c.kind.Route == o.part.Route && !hasPart(c.request.Prompt, o.part.id()) && c.team == crashingTeam {
		o.sound = append(o.sound, c)
	}
}

func (o *crashingOracle) began(c *caller) {
	if o.part != nil && c.attempt == 1 && c.retries == 0 {
		o.begun[c] = true
	}
}

const (
	// maxCrashes is the number of crashes after which at most maxLaterArrivals
	// requests with the part may reach engines, contactTime later, by the users'
	// rules.
	maxCrashes       = 5
	maxLaterArrivals = 3
	// minBegunRatio is the ratio to the usual fraction of sound requests that
	// begin, from 2*contactTime after the last crash that counts, of at least
	// minSoundRequests.
	minBegunRatio    = 0.5
	minSoundRequests = 20
)

// checkCrashing checks that nodes keep the part from the engines and not the sound
// requests that share other traits with it.
func (o *oracle) checkCrashing() {
	c := &o.crashing
	if c.part == nil || len(c.crashes) == 0 {
		return
	}
	last := c.crashes[min(len(c.crashes), maxCrashes)-1]
	later := countAfter(c.arrivals, last.Add(contactTime))
	if len(c.crashes) >= maxCrashes && later > maxLaterArrivals {
		o.violated("%d requests with a part that crashed %d engines reached engines later than %v after the fifth crash, at most %d allowed",
			later, len(c.crashes), contactTime, maxLaterArrivals)
	}
	usual, usualCount := c.begunFraction(startTime, startTime.Add(c.part.From))
	during, duringCount := c.begunFraction(last.Add(2*contactTime), startTime.Add(c.part.To))
	if min(usualCount, duringCount) >= minSoundRequests && during < minBegunRatio*usual {
		o.violated("%.2f of %d sound requests began while others crashed engines, %.2f of %d before", during, duringCount, usual, usualCount)
	}
}

// begunFraction returns the fraction of the sound requests of a time that began at
// the first attempt, and their number.
func (o *crashingOracle) begunFraction(from, to time.Time) (fraction float64, count int) {
	begun := 0
	for _, c := range o.sound {
		if c.firstSubmitted.Before(from) || !c.firstSubmitted.Before(to) {
			continue
		}
		count++
		if o.begun[c] {
			begun++
		}
	}
	return float64(begun) / float64(max(count, 1)), count
}

func countAfter(times []time.Time, after time.Time) int {
	n := 0
	for _, t := range times {
		if t.After(after) {
			n++
		}
	}
	return n
}

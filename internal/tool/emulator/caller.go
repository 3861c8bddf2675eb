package emulator

import (
	"fmt"
	"math"
	"slices"
	"time"

	"monsoonlanding/internal/core/gateway"
	"monsoonlanding/internal/core/placement"
)

const (
	// promptSizeSigma is the standard deviation of the logarithm of the number
	// of own tokens of a prompt.
	promptSizeSigma = 0.8
	// eagerRetryDelay is the retry delay of callers that ignore the delay given
	// in the refusal.
	eagerRetryDelay = 20 * time.Millisecond
	// breaksOfSuspect is the number of broken attempts after which a content may be
	// refused.
	breaksOfSuspect = 2
	// groupTokens is the size of a part that comes before the prefixes.
	groupTokens = 300
)

// scheduleArrivals schedules the callers of the whole run, as a Poisson process
// per kind of request.
func (s *simulation) scheduleArrivals() {
	for _, k := range s.pattern.Kinds {
		at := time.Duration(0)
		for {
			rate := k.Rate
			if s.pattern.RateFactor != nil {
				rate *= s.pattern.RateFactor(at, k.Route)
			}
			at += time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second))
			if at >= s.pattern.Length {
				break
			}
			c := s.newCaller(k, at)
			s.at(c.firstSubmitted, func() { s.submit(c) })
		}
	}
	if s.pattern.CrashingPart != nil {
		s.scheduleCrashingCallers(s.pattern.CrashingPart)
	}
}

func (s *simulation) newCaller(k Kind, at time.Duration) *caller {
	c := &caller{kind: k, firstSubmitted: startTime.Add(at), team: fmt.Sprint("team-", s.rng.IntN(teamCount))}
	if s.rng.Float64() < s.pattern.HotTeam {
		c.team = "team-0"
	}
	c.node = s.rng.IntN(s.setup.Nodes)
	if s.pattern.PickNode != nil {
		c.node = s.pattern.PickNode(at, s.rng.Float64(), s.setup.Nodes)
	}
	c.request = gateway.Request{
		Host: "h", Path: "/" + k.Route + "/1", Key: c.team, CallerTimeout: callerTimeout,
		Prompt: s.prompt(k), Fingerprint: s.rng.Uint64(),
	}
	s.callers = append(s.callers, c)
	if t := s.firstTries(c); t != nil {
		t.Sent++
	}
	tallyOf(s.report.Kinds, k.Route).Callers++
	s.report.Kinds[k.Route].Value = k.Value
	tallyOf(s.report.Teams, c.team).Callers++
	s.secondTally(c).Callers++
	return c
}

func (s *simulation) prompt(k Kind) placement.Prompt {
	if k.SharedTokens == 0 {
		return placement.Prompt{}
	}
	prefix := fmt.Sprint(k.Route, "/", s.rng.IntN(k.Prefixes))
	if s.rng.Float64() < s.pattern.HotPrefix {
		prefix = hotPrefixID(k.Route)
	}
	parts := []placement.Part{{ID: prefix, Tokens: k.SharedTokens}}
	if k.Groups > 0 {
		group := placement.Part{ID: fmt.Sprint(k.Route, "/group-", s.rng.IntN(k.Groups)), Tokens: groupTokens}
		parts = slices.Insert(parts, 0, group)
	}
	ownTokens := int(float64(k.OwnTokens) * math.Exp(promptSizeSigma*s.rng.NormFloat64()-promptSizeSigma*promptSizeSigma/2))
	parts = append(parts, placement.Part{ID: fmt.Sprint("own-", s.rng.Uint64()), Tokens: ownTokens})
	p := placement.Prompt{MaxOutputTokens: k.OutputTokens, OutputEstimate: k.OutputTokens, Parts: parts}
	for _, part := range parts {
		p.InputTokens += part.Tokens
	}
	return p
}

// hotPrefixID returns the ID of the shared prefix that a pattern's hot requests
// of a kind have in common.
func hotPrefixID(kind string) string { return kind + "/hot" }

// tallyOf returns the tally of a name, which it adds if there is none.
func tallyOf(tallies map[string]*Tally, name string) *Tally {
	if tallies[name] == nil {
		tallies[name] = &Tally{}
	}
	return tallies[name]
}

// secondTally returns the tally of the second in which a caller arrived.
func (s *simulation) secondTally(c *caller) *Tally {
	return &s.report.Seconds[int(c.firstSubmitted.Sub(startTime)/time.Second)]
}

// submit sends a caller's request to its node.
func (s *simulation) submit(c *caller) {
	s.lastConn++
	conn := s.lastConn
	c.submitted, c.attempt = s.now, 0
	c.request.ID = fmt.Sprint("request-", conn)
	s.pending[conn] = c
	s.oracle.submitted(s.now, s.routes[c.kind.Route].Targets[0].Service)
	if c.retries == 0 {
		s.oracle.crashing.submitted(c)
	}
	node := s.nodes[c.node]
	s.reduce(c.node, gateway.Arrived{Conn: conn, Request: c.request})
	s.after(callerTimeout, func() {
		if s.pending[conn] == c && s.nodes[c.node] == node {
			s.reduce(c.node, gateway.Expired{Conn: conn})
		}
	})
}

// dispatch runs a request on the upstream that its node has chosen.
func (s *simulation) dispatch(node int, d gateway.Dispatch) {
	if d.Relay != (gateway.Relay{}) {
		s.relay(d)
		return
	}
	c := s.pending[d.Conn]
	c.attempt, c.began, c.silenced = d.Attempt, false, false
	u := s.byID[d.Upstream.ID]
	connect, reaches := s.connect(node, d, c)
	if !reaches {
		return
	}
	s.oracle.arrived(s.now, u.Service, d.Attempt)
	s.oracle.limit.arrived(s.now, node, u.ID)
	s.oracle.arrivedInPause(s.now, node, u.ID)
	pause := s.pauseOf(u)
	switch {
	case u.crashed:
		s.after(messageLatency, func() {
			s.attemptEnded(d.Conn, c, gateway.Ended{Result: gateway.ResultUnreachable, Connect: gateway.ConnectFailed})
		})
		return
	case pause > 0:
		s.oracle.pause.asked(s.now, node, u.ID, pause)
		ended := gateway.Ended{Result: gateway.ResultFull, Connect: connect, Framing: gateway.FramingLength, Signals: gateway.Signals{Pause: pause}}
		s.after(2*messageLatency, func() { s.attemptEnded(d.Conn, c, ended) })
		return
	case s.isFull(u), s.rng.Float64() < s.pattern.RefusedFraction:
		ended := gateway.Ended{Result: gateway.ResultFull, Connect: connect, Framing: gateway.FramingLength, Signals: gateway.Signals{Brittle: s.brittleness(u), Load: s.reportOf(u)}}
		s.turnedAway(u)
		s.after(2*messageLatency, func() { s.attemptEnded(d.Conn, c, ended) })
		return
	}
	c.runsOn = u
	s.oracle.ran(s.now, c, s.routes[c.kind.Route])
	result := gateway.ResultComplete
	if s.rng.Float64() < s.pattern.BrokenFraction {
		result = gateway.ResultBroken
	}
	begin, end, prefilled := u.accept(s.now.Add(messageLatency), c.request.Prompt, s.slowdownOf(u))
	s.countPrefill(u, c.request.Prompt, prefilled)
	current := func() bool { return s.pending[d.Conn] == c && c.runsOn == u && !u.crashed && !c.silenced }
	if s.pattern.CrashingPart.crashes(s.now.Sub(startTime), c.request.Prompt) {
		s.oracle.crashing.arrived(s.now)
		s.at(begin, func() {
			if current() {
				s.crashBy(d.Conn, c, u)
			}
		})
		return
	}
	if s.pattern.ResetFraction > 0 && s.rng.Float64() < s.pattern.ResetFraction {
		s.at(begin, func() {
			if current() {
				s.attemptEnded(d.Conn, c, gateway.Ended{Result: gateway.ResultBroken})
			}
		})
		return
	}
	s.at(begin.Add(messageLatency), func() {
		if current() {
			c.began = true
			s.answerBegan(c)
			s.reduce(node, gateway.Began{Conn: d.Conn, Attempt: d.Attempt, Signals: gateway.Signals{RateLimit: s.nameLimit(node, u), Brittle: s.brittleness(u), Load: s.reportOf(u)}, Connect: connect})
		}
	})
	if paced := begin.Add(paceTime); paced.Before(end) && u.cached != nil {
		s.at(paced.Add(messageLatency), func() {
			if current() {
				s.reduce(node, gateway.Paced{Conn: d.Conn, Attempt: d.Attempt, Interval: paceTime / gateway.PaceEvents})
			}
		})
	}
	s.at(end.Add(messageLatency), func() {
		if current() {
			s.attemptEnded(d.Conn, c, gateway.Ended{Result: result, Framing: gateway.FramingChunks, Connect: connect})
		}
	})
}

// countPrefill counts the prefilled tokens, and those of a shared part that
// any engine had prefilled before.
func (s *simulation) countPrefill(u *upstream, p placement.Prompt, prefilled int) {
	s.report.Prefilled += prefilled
	if len(p.Parts) == 0 {
		return
	}
	part := p.Parts[0]
	if prefilled == p.InputTokens && s.prefilledParts[part.ID] {
		s.report.Recomputed += part.Tokens
	}
	s.prefilledParts[part.ID] = true
}

// answerBegan counts a caller whose answer begins.
func (s *simulation) answerBegan(c *caller) {
	if c.origin != nil {
		c.done = true
		s.relayBegan(c.origin)
		return
	}
	if c.done {
		return
	}
	s.oracle.crashing.began(c)
	c.done = true
	if t := s.firstTries(c); t != nil && c.retries == 0 {
		t.Served++
	}
	latency := s.now.Sub(c.firstSubmitted)
	s.report.Latencies = append(s.report.Latencies, latency)
	s.report.RouteLatencies[c.kind.Route] = append(s.report.RouteLatencies[c.kind.Route], latency)
	for _, t := range []*Tally{s.report.Kinds[c.kind.Route], s.report.Teams[c.team], s.secondTally(c)} {
		if latency <= c.kind.LatencyGoal {
			t.InTime++
		} else {
			t.Late++
		}
	}
}

// attemptEnded notifies the node that an attempt has ended as given.
func (s *simulation) attemptEnded(conn uint64, c *caller, ended gateway.Ended) {
	if s.pending[conn] != c {
		return
	}
	if c.runsOn != nil {
		c.runsOn.running--
		c.runsOn = nil
	}
	if s.setup.Result != nil {
		ended.Result = s.setup.Result(ended.Result)
	}
	if ended.Result == gateway.ResultBroken {
		c.breaks++
	}
	ended.Conn, ended.Attempt, ended.AnswerSent = conn, c.attempt, c.done
	s.reduce(c.node, ended)
	if ended.Result != gateway.ResultComplete {
		return
	}
	s.reduce(c.node, gateway.HandlerEnded{Conn: conn})
	delete(s.pending, conn)
	if c.origin != nil {
		s.relayEnded(c.origin, gateway.Ended{Result: gateway.ResultComplete, Framing: ended.Framing})
	}
}

// handleRefusal has the caller retry once after the delay given in the refusal,
// or several times after eagerRetryDelay if the pattern sets CallerRetries.
func (s *simulation) handleRefusal(e gateway.Refuse) {
	c := s.pending[e.Conn]
	if c == nil {
		return
	}
	delete(s.pending, e.Conn)
	s.cancelRelay(c)
	if c.origin != nil {
		s.after(0, func() { s.reduce(c.node, gateway.HandlerEnded{Conn: e.Conn}) })
		s.relayRefused(c.origin, e)
		return
	}
	s.oracle.refused(c, e.Reason)
	s.countRefusal(c, e.Reason)
	s.after(0, func() { s.reduce(c.node, gateway.HandlerEnded{Conn: e.Conn}) })
	delay, maxRetries := e.RetryAfter, 1
	if s.pattern.CallerRetries > 0 {
		delay, maxRetries = eagerRetryDelay, s.pattern.CallerRetries
	}
	retry := delay > 0 && c.retries < maxRetries && s.now.Add(delay).Before(c.firstSubmitted.Add(callerTimeout))
	if !retry {
		s.countOutcome(c, func(t *Tally) { t.Refused++ })
		return
	}
	c.retries++
	s.after(delay, func() { s.submit(c) })
}

func (s *simulation) countRefusal(c *caller, reason gateway.Reason) {
	s.report.Refusals[reason]++
	if reason == gateway.ReasonSuspect && c.breaks < breaksOfSuspect {
		s.report.WronglySuspected++
	}
	delay := float64(s.now.Sub(c.submitted)) / float64(c.kind.LatencyGoal)
	s.report.MaxRefusalDelay = max(s.report.MaxRefusalDelay, delay)
	if since, paused := s.allPausedSince(c.node, s.routes[c.kind.Route].Targets[0].Service); paused && c.attempt == 0 {
		known := min(s.now.Sub(since), s.now.Sub(c.submitted))
		s.report.MaxRefusalDelayInPause = max(s.report.MaxRefusalDelayInPause, float64(known)/float64(c.kind.LatencyGoal))
	}
	if reason == gateway.ReasonOverload && s.hasCapacity(c) {
		s.report.RefusedWithCapacity++
	}
}

// hasCapacity reports whether more than half of the engines' slots are free and
// no engine is prefilling. It is false for requests to a plain service.
func (s *simulation) hasCapacity(c *caller) bool {
	if c.kind.SharedTokens == 0 {
		return false
	}
	running, slots := 0, 0
	for _, u := range s.upstreams {
		if u.cached == nil || u.crashed {
			continue
		}
		if u.prefillEnd.After(s.now) {
			return false
		}
		running += u.running
		slots += engineSlots
	}
	return 2*running < slots
}

// handleAbort counts a caller whose connection was closed before the end of
// the answer.
func (s *simulation) handleAbort(conn uint64) {
	c := s.pending[conn]
	if c == nil {
		return
	}
	delete(s.pending, conn)
	s.cancelRelay(c)
	if c.origin != nil {
		s.relayEnded(c.origin, gateway.Ended{Result: gateway.ResultBroken, Framing: gateway.FramingChunks})
	} else {
		s.countOutcome(c, func(t *Tally) { t.Failed++ })
	}
	s.after(0, func() { s.reduce(c.node, gateway.HandlerEnded{Conn: conn}) })
}

// countOutcome counts the outcome of a caller, at most once.
func (s *simulation) countOutcome(c *caller, increment func(*Tally)) {
	if c.done {
		return
	}
	c.done = true
	increment(s.report.Kinds[c.kind.Route])
	increment(s.report.Teams[c.team])
	increment(s.secondTally(c))
}

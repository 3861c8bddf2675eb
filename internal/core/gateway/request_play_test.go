package gateway

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/placement"
	"monsoonlanding/internal/core/route"
)

const (
	// playUpstreams is the number of upstreams of each service of a requestPlay.
	playUpstreams = 3
	// playSettle is the time after which everything must have ended once nothing new arrives.
	playSettle = 30 * time.Second
)

// requestPlay plays one node with a model of its handlers and of the upstreams: events are drawn at
// random, and what the node does to each request is checked after each of them.
type requestPlay struct {
	*bench
	rng      *rand.Rand
	handlers map[uint64]*playHandler
	moves    []Move
	version  int64
	draining map[string]time.Time
	started  map[string]time.Time
	// gone holds the upstreams that the store does not list.
	gone map[string]bool
	// unreachable is set while connections to upstreams fail.
	unreachable bool
	statusSeq   uint64
	violations  []string
}

// playHandler is the model of the handler of one request.
type playHandler struct {
	path string
	// attempt is the open attempt, nil if there is none.
	attempt *Dispatch
	// ran is the number of runs that have begun or may have; one that continues a stopped run
	// counts with it.
	ran      int
	began    bool
	sent     bool
	deadline time.Time
}

// isUnsafe reports whether the request may run once only.
func (h *playHandler) isUnsafe() bool {
	return h.path == "/book/1" || h.path == "/plan/1"
}

func newRequestPlay(b *bench, seed uint64) *requestPlay {
	p := &requestPlay{
		bench: b, rng: rand.New(rand.NewPCG(seed, 8)), handlers: make(map[uint64]*playHandler),
		version: 1, draining: make(map[string]time.Time), started: make(map[string]time.Time),
		gone: make(map[string]bool),
	}
	p.g.rng = rand.New(rand.NewPCG(seed, 9))
	p.process(p.reduce(ConfigRead{Config: p.config(), Body: []byte("1"), Source: "store"}))
	p.process(p.reduce(RolloutsChanged{}))
	p.listAll()
	return p
}

// config returns a configuration whose routes, services, priorities and keys are drawn.
func (p *requestPlay) config() route.Config {
	c := testConfig(p.version)
	c.Services = append(c.Services, route.Service{Name: "desk2"})
	c.Services[1].Engine.Slots, c.Services[1].Engine.CanCopyCache = 2, true
	c.Teams[0].Rate = 0
	if p.rng.IntN(8) == 0 {
		c.Teams[0].Keys = []string{"other"}
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		r.Timeout = 4 * time.Second
		r.LatencyGoal = 2 * time.Second
		r.Priority = p.rng.IntN(3)
		if r.Targets[0].Service == "desk" && p.rng.IntN(3) == 0 {
			r.Targets = []route.Target{{Service: "desk2"}}
		}
	}
	if p.rng.IntN(10) == 0 {
		c.Routes = c.Routes[1:]
	}
	return c
}

// listAll lists the upstreams: those that drain do so, the others are ready.
func (p *requestPlay) listAll() {
	var list []placement.Upstream
	for _, service := range []string{"desk", "desk2", "model"} {
		for i := range playUpstreams {
			u := up(fmt.Sprint(service, i), service)
			if p.gone[u.ID] {
				continue
			}
			u.Slots, u.StartedAt = 2, p.started[u.ID]
			if at, ok := p.draining[u.ID]; ok {
				u.State, u.StopsAt = placement.StateDraining, at
			}
			list = append(list, u)
		}
	}
	p.revision.Number++
	p.process(p.reduce(UpstreamsListed{List: list, Revision: p.revision}))
}

// play draws a number of events, and lets everything end then.
func (p *requestPlay) play(events int) []string {
	for range events {
		p.step()
		if len(p.violations) > 0 {
			return p.violations
		}
	}
	p.settle()
	return p.violations
}

func (p *requestPlay) addViolation(conn uint64, format string, args ...any) {
	p.violations = append(p.violations, fmt.Sprintf("request %d: ", conn)+fmt.Sprintf(format, args...))
}

// step draws one event.
func (p *requestPlay) step() {
	p.now = p.now.Add(time.Duration(p.rng.Int64N(int64(20 * time.Millisecond))))
	switch n := p.rng.IntN(100); {
	case n < 30:
		p.arrivePlay()
	case n < 50:
		p.progress()
	case n < 60:
		p.answerMove()
	case n < 80:
		p.now = p.now.Add(TickInterval)
		p.expireDue()
		p.process(p.reduce(Tick{}))
	case n < 90:
		p.version++
		p.process(p.reduce(ConfigRead{Config: p.config(), Body: []byte("1"), Source: "store"}))
	case n < 94:
		p.receiveStatus()
	case n < 96:
		p.drainOne()
	case n < 97:
		p.change()
	default:
		p.leave()
	}
}

func (p *requestPlay) arrivePlay() {
	paths := []string{"/book/1", "/read/1", "/plan/1", "/ask/1"}
	path := paths[p.rng.IntN(len(paths))]
	p.conn++
	h := &playHandler{path: path, deadline: p.now.Add(4 * time.Second)}
	p.handlers[p.conn] = h
	r := Request{ID: fmt.Sprint("r", p.conn), Host: "h", Path: path, Key: "k", Fingerprint: p.conn}
	if path == "/plan/1" || path == "/ask/1" {
		r.Prompt = placement.Prompt{InputTokens: 100, MaxOutputTokens: 3000}
	}
	p.process(p.reduce(Arrived{Conn: p.conn, Request: r}))
}

// open returns the requests with an open attempt, in order.
func (p *requestPlay) open() []uint64 {
	var list []uint64
	for _, conn := range slices.Sorted(maps.Keys(p.handlers)) {
		if p.handlers[conn].attempt != nil {
			list = append(list, conn)
		}
	}
	return list
}

// progress lets the answer to one attempt begin, or ends one.
func (p *requestPlay) progress() {
	open := p.open()
	if len(open) == 0 {
		return
	}
	conn := open[p.rng.IntN(len(open))]
	h := p.handlers[conn]
	if !h.began && p.rng.IntN(2) == 0 {
		h.began = true
		p.process(p.reduce(Began{Conn: conn, Attempt: h.attempt.Attempt}))
		h.sent = h.sent || h.attempt != nil && h.attempt.Streaming
		return
	}
	p.endAttempt(conn, p.drawResult(h))
}

// drawResult draws the end of an attempt. A run that has begun can't be said not to have.
func (p *requestPlay) drawResult(h *playHandler) Result {
	results := []Result{ResultComplete, ResultErrored, ResultBroken, ResultMalformed}
	if h.attempt.Streaming {
		results = append(results, ResultClosed)
	}
	switch {
	case h.began:
	case p.unreachable:
		results = []Result{ResultUnreachable}
	case h.attempt.Relay != (Relay{}):
		results = append(results, ResultRelayRefused, ResultUnreachable)
	default:
		results = append(results, ResultFull, ResultUnreachable, ResultWithheld, ResultRefused)
	}
	return results[p.rng.IntN(len(results))]
}

func (p *requestPlay) endAttempt(conn uint64, result Result) {
	h := p.handlers[conn]
	attempt := h.attempt
	h.attempt = nil
	if !result.NotRun() && attempt.From == (KVCache{}) {
		h.ran++
	}
	e := Ended{Conn: conn, Attempt: attempt.Attempt, Result: result, AnswerSent: h.sent, Framing: FramingChunks, Signals: p.signals(result)}
	if result == ResultUnreachable {
		e.Connect, e.Framing, e.Signals = ConnectFailed, "", Signals{}
	}
	if h.sent {
		e.CallerFraming = FramingChunks
	}
	effects := p.reduce(e)
	if result == ResultComplete {
		delete(p.handlers, conn)
		p.process(effects)
		p.process(p.reduce(HandlerEnded{Conn: conn}))
		return
	}
	p.process(effects)
}

// expireDue reports the deadlines of open attempts that have passed, as their handlers do.
func (p *requestPlay) expireDue() {
	for _, conn := range p.open() {
		h := p.handlers[conn]
		if h == nil || h.attempt == nil || p.now.Before(h.deadline) {
			continue
		}
		if h.attempt.From == (KVCache{}) {
			h.ran++
		}
		h.attempt = nil
		p.process(p.reduce(Expired{Conn: conn, AnswerSent: h.sent}))
	}
}

// receiveStatus receives the status of a peer to which requests can be passed on, with loads that are drawn.
func (p *requestPlay) receiveStatus() {
	p.statusSeq++
	s := status("b")
	s.Seq, s.Time, s.TakesRelays, s.Reaches = p.statusSeq, p.now, p.rng.IntN(2) == 0, p.rng.IntN(2) == 0
	for i := range playUpstreams {
		id := fmt.Sprint("desk", i)
		s.Load = append(s.Load, peer.UpstreamLoad{Upstream: id, Running: p.rng.IntN(3)})
		s.Reached = append(s.Reached, peer.ReachedUpstream{Process: processID(placement.Upstream{ID: id})})
	}
	p.process(p.receive(s))
}

// change lets an upstream leave or return without notice, lets connections fail or work again, or steps the clock.
func (p *requestPlay) change() {
	switch p.rng.IntN(3) {
	case 0:
		id := fmt.Sprint([]string{"desk", "desk2", "model"}[p.rng.IntN(3)], p.rng.IntN(playUpstreams))
		p.gone[id] = !p.gone[id]
		p.listAll()
	case 1:
		p.unreachable = !p.unreachable
	case 2:
		p.now = p.now.Add(time.Duration(p.rng.Int64N(int64(3 * time.Second))))
	}
}

// signals draws what an upstream says of itself in an answer.
func (p *requestPlay) signals(result Result) Signals {
	var s Signals
	switch p.rng.IntN(8) {
	case 0:
		s.Leaving = true
	case 1:
		s.RateLimit = placement.RateLimit{Named: true, PerSecond: float64(p.rng.IntN(4))}
	}
	if result.NotRun() && p.rng.IntN(3) == 0 {
		s.Pause = time.Duration(p.rng.Int64N(int64(2 * time.Second)))
	}
	return s
}

// leave lets one caller disconnect.
func (p *requestPlay) leave() {
	conns := slices.Sorted(maps.Keys(p.handlers))
	if len(conns) == 0 {
		return
	}
	conn := conns[p.rng.IntN(len(conns))]
	delete(p.handlers, conn)
	p.process(p.reduce(HandlerEnded{Conn: conn, Disconnected: true}))
}

// drainOne lets an engine drain, or lets its successor start.
func (p *requestPlay) drainOne() {
	id := fmt.Sprint("model", p.rng.IntN(playUpstreams))
	if _, ok := p.draining[id]; ok {
		delete(p.draining, id)
		p.started[id] = p.now
	} else if len(p.draining) < playUpstreams-1 {
		p.draining[id] = p.now.Add(2500 * time.Millisecond)
	}
	p.listAll()
}

// answerMove answers a move. One that stops the run breaks its stream off.
func (p *requestPlay) answerMove() {
	if len(p.moves) == 0 {
		return
	}
	i := p.rng.IntN(len(p.moves))
	m := p.moves[i]
	p.moves = slices.Delete(p.moves, i, i+1)
	outcomes := []MoveOutcome{MoveDone, MoveStopped, MoveRefused, MoveWithheld, MoveAbsent, MoveUnknown}
	outcome := outcomes[p.rng.IntN(len(outcomes))]
	moved := Moved{Conn: m.Conn, Attempt: m.Attempt, Outcome: outcome, Handle: "h", Source: m.Source, StartedAt: p.now}
	p.process(p.reduce(moved))
	h := p.handlers[m.Conn]
	if h != nil && h.attempt != nil && h.attempt.Attempt == m.Attempt && (outcome == MoveDone || outcome == MoveStopped) {
		p.endAttempt(m.Conn, ResultBroken)
	}
}

// process carries out the effects for the handlers.
func (p *requestPlay) process(effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Dispatch:
			p.dispatched(e)
		case Move:
			p.moves = append(p.moves, e)
		case ProbeUpstream:
			p.process(p.reduce(UpstreamProbed{Upstream: e.Upstream.ID, Connected: !p.unreachable}))
		case Refuse:
			p.refused(e)
		case RelayError:
			p.end(e.Conn, "upstream's error")
		case Finish:
			p.end(e.Conn, "finish")
		case Abort:
			p.end(e.Conn, "abort")
		}
	}
}

func (p *requestPlay) dispatched(d Dispatch) {
	h := p.handlers[d.Conn]
	switch {
	case h == nil:
		p.addViolation(d.Conn, "dispatched after its end")
		return
	case h.attempt != nil:
		p.addViolation(d.Conn, "attempt %d is dispatched while attempt %d runs", d.Attempt, h.attempt.Attempt)
	case h.isUnsafe() && h.ran > 0 && d.From == (KVCache{}):
		p.addViolation(d.Conn, "unsafe, dispatched again after a run")
	}
	h.attempt, h.began = &d, false
}

func (p *requestPlay) refused(e Refuse) {
	h := p.handlers[e.Conn]
	if h != nil && h.ran > 0 && e.Reason != ReasonFailed && e.Reason != ReasonDeadlineExceeded {
		p.addViolation(e.Conn, "refused with %s after a run", e.Reason)
	}
	if h != nil && h.sent {
		p.addViolation(e.Conn, "refused with %s inside its answer", e.Reason)
	}
	p.end(e.Conn, "refusal")
}

// end ends a request's handler.
func (p *requestPlay) end(conn uint64, how string) {
	h := p.handlers[conn]
	if h == nil {
		p.addViolation(conn, "%s after its end", how)
		return
	}
	if h.attempt != nil {
		p.addViolation(conn, "%s while attempt %d runs", how, h.attempt.Attempt)
	}
	delete(p.handlers, conn)
	p.process(p.reduce(HandlerEnded{Conn: conn}))
}

// settle answers all moves and lets time run until every request must have ended.
func (p *requestPlay) settle() {
	for end := p.now.Add(playSettle); p.now.Before(end); {
		p.answerMove()
		p.now = p.now.Add(TickInterval)
		p.expireDue()
		p.process(p.reduce(Tick{}))
	}
	for _, conn := range slices.Sorted(maps.Keys(p.handlers)) {
		p.addViolation(conn, "has no end")
	}
	for id, load := range p.g.upstreams.OwnLoads() {
		if load.Running != 0 {
			p.violations = append(p.violations, fmt.Sprintf("upstream %s: %d places are not given back", id, load.Running))
		}
	}
}

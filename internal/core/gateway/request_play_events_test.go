package gateway

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/placement"
)

// The events that a requestPlay draws.

// arrivePlay submits a request to one of the routes.
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

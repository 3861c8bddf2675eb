package gateway

import (
	"cmp"
	"slices"
	"time"

	"monsoonlanding/internal/core/placement"
)

const (
	// defaultDrainTime is the assumed time for which a draining upstream
	// continues to serve if it reports no StopsAt.
	defaultDrainTime = 2 * time.Second
	// stopMargin is the time reserved for data in transit before an upstream
	// stops.
	stopMargin = 300 * time.Millisecond
	// tokenInterval is the estimated time between two tokens of a stream in a
	// full batch.
	tokenInterval = 8 * time.Millisecond
	// outputHintFactor multiplies the caller's estimate of the output, because
	// that estimate is often too low.
	outputHintFactor = 2
	// movesPerSource bounds this node's concurrent moves from one engine: they
	// share its link, and a stream pauses while its move waits for the link.
	movesPerSource = 1
	// moveTries bounds request.moveTries, the number of moves started per
	// request.
	moveTries = 3
)

// move is the transfer of a running request to another engine.
type move struct {
	source, target placement.Upstream
	// moved is the answer to the move, nil until it is received.
	moved *Moved
	// ended is the end of the stopped stream, nil until it is received.
	ended *Ended
}

// stopTime returns when a draining upstream stops.
func (g *Gateway) stopTime(u placement.Upstream) time.Time {
	if !u.StopsAt.IsZero() {
		return u.StopsAt
	}
	return g.drainingSince[u.ID].Add(defaultDrainTime)
}

// trackDraining records when an upstream was first seen draining.
func (g *Gateway) trackDraining(u placement.Upstream) {
	if u.State != placement.StateDraining {
		delete(g.drainingSince, u.ID)
		return
	}
	if _, known := g.drainingSince[u.ID]; !known {
		g.drainingSince[u.ID] = g.now
	}
}

// moveRuns moves the streams at a draining engine that would not end in time.
// Those that cannot be resumed otherwise go first.
func (g *Gateway) moveRuns(source placement.Upstream) {
	if source.State != placement.StateDraining || !g.canCopyCache(source) {
		return
	}
	if g.isEvacuated(source) {
		return
	}
	if !g.upstreams.Admits(g.now, source) || g.upstreams.ColdWait(g.now, source.ID) > 0 {
		g.moveLater[source.ID] = true
		return
	}
	openMoves := 0
	var runs []*request
	for _, r := range g.requests {
		if r.upstream.ID != source.ID || r.phase != phaseRunning {
			continue
		}
		if r.move != nil && r.move.moved == nil {
			openMoves++
		}
		if r.began && r.move == nil && r.moveTries < moveTries && !g.endsInTime(r, source) {
			runs = append(runs, r)
		}
	}
	slices.SortFunc(runs, func(a, b *request) int {
		switch {
		case b.route.Resumable && !a.route.Resumable:
			return -1
		case a.route.Resumable && !b.route.Resumable:
			return 1
		}
		return cmp.Compare(a.conn, b.conn)
	})
	for _, r := range runs {
		if openMoves >= movesPerSource {
			return
		}
		if g.startMove(r, source) {
			openMoves++
		}
	}
}

func (g *Gateway) canCopyCache(u placement.Upstream) bool {
	s, ok := g.table.Service(u.Service)
	return ok && s.Engine != nil && s.Engine.CanCopyCache
}

// endsInTime reports whether a stream is likely to end before its engine stops.
func (g *Gateway) endsInTime(r *request, source placement.Upstream) bool {
	tokens := min(outputHintFactor*r.req.Prompt.ExpectedOutput(), r.req.Prompt.MaxOutputTokens)
	end := r.beganAt.Add(time.Duration(tokens) * tokenInterval)
	return end.Before(g.stopTime(source).Add(-stopMargin))
}

func (g *Gateway) startMove(r *request, source placement.Upstream) bool {
	if g.now.After(g.stopTime(source).Add(-stopMargin)) {
		return false
	}
	service, ok := g.table.Service(r.service)
	if !ok {
		return false
	}
	query := g.query(r, service)
	query.MaxWait = 0
	// A KV cache is usable only with the same model weights.
	query.Version, query.NotVersion = source.Version, ""
	target, ok := g.upstreams.Pick(g.now, query)
	if !ok {
		if g.upstreams.CountPaused(g.now, r.service) > 0 || g.upstreams.CountCold(g.now, r.service) > 0 {
			g.moveLater[source.ID] = true
		}
		return false
	}
	r.move = &move{source: source, target: target}
	// The run's continuation is a request to the target, and the move one to the
	// source.
	g.upstreams.Reserve(g.now, target.ID)
	g.upstreams.Reserve(g.now, source.ID)
	r.moveTries++
	g.count(CountMove, "started")
	g.logRequest(r, "move", "moving running request", "source", source.ID, "target", target.ID,
		"leaves_ms", g.stopTime(source).Sub(g.now).Milliseconds(), "age_ms", g.now.Sub(r.arrived).Milliseconds())
	g.emit(Move{Conn: r.conn, Attempt: r.attempt, Request: r.req.ID, Source: source, Target: target})
	return true
}

// moved processes the answer to a move.
func (g *Gateway) moved(e Moved) {
	g.count(CountMove, string(e.Outcome))
	if e.Answered {
		g.recordSignals(e.Source, e.StartedAt, e.Signals)
	}
	r := g.requests[e.Conn]
	if r == nil || r.attempt != e.Attempt || r.move == nil {
		return
	}
	source := r.move.source
	switch {
	case r.move.ended != nil:
		r.move.moved = &e
		g.continueMoved(r)
	case e.Outcome == MoveRefused:
		r.exclude = append(r.exclude, r.move.target.ID)
		g.upstreams.CancelReservation(g.now, r.move.target.ID)
		r.move = nil
	case e.Outcome == MoveWithheld:
		g.upstreams.CancelReservation(g.now, r.move.target.ID)
		g.upstreams.CancelReservation(g.now, source.ID)
		r.move = nil
		r.moveTries--
	default:
		r.move.moved = &e
	}
	g.moveRuns(source)
}

// endedInMove processes the end of a stream that is being moved. It returns
// true if the request waits for the move's answer or continues according to it.
// An engine that stops a run closes its stream without an end, which without
// length or chunks looks like the end of a whole stream. Any other end is the attempt's own, and
// the request waits for its move no longer.
func (g *Gateway) endedInMove(r *request, e Ended) bool {
	if r.move == nil {
		return false
	}
	if e.Result != ResultBroken && e.Result != ResultClosed {
		g.abandonMove(r)
		return false
	}
	r.move.ended = &e
	if r.move.moved != nil {
		g.continueMoved(r)
	}
	return true
}

// abandonMove ends the wait for a move of a request, whose answer will be dropped.
func (g *Gateway) abandonMove(r *request) {
	if r.move == nil {
		return
	}
	g.upstreams.CancelReservation(g.now, r.move.target.ID)
	r.move = nil
}

// continueMoved dispatches a stopped request to the engine that holds its KV
// cache.
func (g *Gateway) continueMoved(r *request) {
	m := r.move
	r.move = nil
	// The dispatch counts instead of the reservation, if there is one.
	g.upstreams.CancelReservation(g.now, m.target.ID)
	from := KVCache{Address: m.source.Address, Handle: m.moved.Handle}
	switch m.moved.Outcome {
	case MoveDone:
		g.continueRun(r, stoppedRun{upstream: m.target, from: from, ended: *m.ended})
	case MoveStopped:
		g.continueRun(r, stoppedRun{upstream: m.source, from: from, ended: *m.ended})
	case MoveRefused, MoveWithheld, MoveAbsent:
		g.afterStream(r, *m.ended)
	case MoveUnknown:
		g.afterRun(r, *m.ended)
	}
}

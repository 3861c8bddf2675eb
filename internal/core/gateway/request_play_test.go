package gateway

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

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

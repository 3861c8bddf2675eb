package emulator

import (
	"fmt"
	"math"
	"time"

	"monsoonlanding/internal/core/gateway"
	"monsoonlanding/internal/core/placement"
)

const (
	// sizeSpread is the deviation of the logarithm of a prompt's own tokens.
	sizeSpread = 0.8
	// repeatPause is how soon callers repeat that don't wait as they were told.
	repeatPause = 20 * time.Millisecond
)

// arrivals plans the callers of the whole run.
func (w *world) arrivals() {
	for _, k := range w.pattern.Kinds {
		at := time.Duration(0)
		for {
			rate := k.Rate
			if w.pattern.Change != nil {
				rate *= w.pattern.Change(at, k.Route)
			}
			at += time.Duration(w.rng.ExpFloat64() / rate * float64(time.Second))
			if at >= w.pattern.Length {
				break
			}
			c := w.newCaller(k, at)
			w.at(c.first, func() { w.submit(c) })
		}
	}
}

func (w *world) newCaller(k Kind, at time.Duration) *caller {
	c := &caller{kind: k, first: epoch.Add(at), team: fmt.Sprint("team-", w.rng.IntN(teams))}
	if w.rng.Float64() < w.pattern.HotTeam {
		c.team = "team-0"
	}
	c.node = w.rng.IntN(w.setup.Nodes)
	if w.pattern.Node != nil {
		c.node = w.pattern.Node(at, w.rng.Float64(), w.setup.Nodes)
	}
	c.request = gateway.Request{
		Host: "h", Path: "/" + k.Route + "/1", Key: c.team, Patience: patience,
		Prompt: w.prompt(k), Fingerprint: w.rng.Uint64(),
	}
	w.all = append(w.all, c)
	tally(w.report.Kinds, k.Route).Callers++
	w.report.Kinds[k.Route].Worth = k.Worth
	tally(w.report.Teams, c.team).Callers++
	w.second(c).Callers++
	return c
}

func (w *world) prompt(k Kind) placement.Prompt {
	if k.Shared == 0 {
		return placement.Prompt{}
	}
	subject := fmt.Sprint(k.Route, "/", w.rng.IntN(k.Subjects))
	if w.rng.Float64() < w.pattern.HotSubject {
		subject = hotPart(k.Route)
	}
	own := int(float64(k.Own) * math.Exp(sizeSpread*w.rng.NormFloat64()-sizeSpread*sizeSpread/2))
	return placement.Prompt{
		Input: k.Shared + own, Output: k.Output, Expected: k.Output,
		Parts: []placement.Part{{ID: subject, Tokens: k.Shared}, {ID: fmt.Sprint("own-", w.rng.Uint64()), Tokens: own}},
	}
}

// hotPart names the subject that most requests of a kind are about.
func hotPart(kind string) string { return kind + "/hot" }

func tally(by map[string]*Tally, name string) *Tally {
	if by[name] == nil {
		by[name] = &Tally{}
	}
	return by[name]
}

func (w *world) second(c *caller) *Tally {
	return &w.report.Seconds[int(c.first.Sub(epoch)/time.Second)]
}

// submit sends a caller's request to its node.
func (w *world) submit(c *caller) {
	w.last++
	conn := w.last
	c.submitted = w.now
	c.request.ID = fmt.Sprint("request-", conn)
	w.callers[conn] = c
	w.oracle.submitted(w.now, w.routes[c.kind.Route].Targets[0].Service)
	node := w.nodes[c.node]
	w.reduce(c.node, gateway.Arrived{Conn: conn, Request: c.request})
	w.after(patience, func() {
		if w.callers[conn] == c && w.nodes[c.node] == node {
			w.reduce(c.node, gateway.Expired{Conn: conn})
		}
	})
}

// dispatch brings a request to an upstream.
func (w *world) dispatch(node int, d gateway.Dispatch) {
	c := w.callers[d.Conn]
	c.attempt = d.Attempt
	u := w.byID[d.Upstream.ID]
	w.oracle.arrived(w.now, u.Service, d.Attempt)
	switch {
	case u.lost:
		w.after(hop, func() { w.ended(d.Conn, c, gateway.ResultUnreachable) })
		return
	case u.full(), w.rng.Float64() < w.pattern.Refused:
		w.after(2*hop, func() { w.ended(d.Conn, c, gateway.ResultFull) })
		return
	}
	c.at = u
	w.oracle.ran(w.now, c, w.routes[c.kind.Route])
	result := gateway.ResultComplete
	if w.rng.Float64() < w.pattern.Broken {
		result = gateway.ResultBroken
	}
	began, ended, read := u.take(w.now.Add(hop), c.request.Prompt)
	w.countRead(u, c.request.Prompt, read)
	current := func() bool { return w.callers[d.Conn] == c && c.at == u && !u.lost }
	w.at(began.Add(hop), func() {
		if current() {
			w.first(c)
			w.reduce(node, gateway.Began{Conn: d.Conn, Attempt: d.Attempt})
		}
	})
	w.at(ended.Add(hop), func() {
		if current() {
			w.ended(d.Conn, c, result)
		}
	})
}

// countRead counts the tokens read, and those of a shared part that another
// engine had read before.
func (w *world) countRead(u *upstream, p placement.Prompt, read int) {
	w.report.Read += read
	if len(p.Parts) == 0 {
		return
	}
	part := p.Parts[0]
	if read == p.Input && w.readBy[part.ID] {
		w.report.Reread += part.Tokens
	}
	w.readBy[part.ID] = true
}

// first counts a caller whose answer begins.
func (w *world) first(c *caller) {
	if c.done {
		return
	}
	c.done = true
	took := w.now.Sub(c.first)
	for _, t := range []*Tally{w.report.Kinds[c.kind.Route], w.report.Teams[c.team], w.second(c)} {
		if took <= c.kind.Goal {
			t.InTime++
		} else {
			t.Late++
		}
	}
}

// ended tells the node that an attempt is over.
func (w *world) ended(conn uint64, c *caller, result gateway.Result) {
	if w.callers[conn] != c {
		return
	}
	if c.at != nil {
		c.at.running--
		c.at = nil
	}
	if w.setup.Result != nil {
		result = w.setup.Result(result)
	}
	w.reduce(c.node, gateway.Ended{Conn: conn, Attempt: c.attempt, Result: result, Sent: c.done})
	if result == gateway.ResultComplete {
		w.reduce(c.node, gateway.Left{Conn: conn})
		delete(w.callers, conn)
	}
}

// refused has the caller come back when it was told, once, or at once.
func (w *world) refused(e gateway.Refuse) {
	c := w.callers[e.Conn]
	if c == nil {
		return
	}
	delete(w.callers, e.Conn)
	w.oracle.told(c, e.Reason)
	w.countRefusal(c, e.Reason)
	w.after(0, func() { w.reduce(c.node, gateway.Left{Conn: e.Conn}) })
	pause, most := e.RetryAfter, 1
	if w.pattern.Repeats > 0 {
		pause, most = repeatPause, w.pattern.Repeats
	}
	again := pause > 0 && c.repeats < most && w.now.Add(pause).Before(c.first.Add(patience))
	if !again {
		w.count(c, func(t *Tally) { t.Refused++ })
		return
	}
	c.repeats++
	w.after(pause, func() { w.submit(c) })
}

func (w *world) countRefusal(c *caller, reason gateway.Reason) {
	w.report.Refusals[reason]++
	w.report.HeldLongest = max(w.report.HeldLongest, float64(w.now.Sub(c.submitted))/float64(c.kind.Goal))
	if reason == gateway.ReasonOverload && w.room(c) {
		w.report.RefusedWithRoom++
	}
}

// room reports whether the engines are half empty and read no prompts.
func (w *world) room(c *caller) bool {
	if c.kind.Shared == 0 {
		return false
	}
	running, slots := 0, 0
	for _, u := range w.upstreams {
		if u.kept == nil || u.lost {
			continue
		}
		if u.readUntil.After(w.now) {
			return false
		}
		running += u.running
		slots += engineSlots
	}
	return 2*running < slots
}

// failed counts a caller whose answer was cut.
func (w *world) failed(conn uint64) {
	c := w.callers[conn]
	if c == nil {
		return
	}
	delete(w.callers, conn)
	w.count(c, func(t *Tally) { t.Failed++ })
	w.after(0, func() { w.reduce(c.node, gateway.Left{Conn: conn}) })
}

// count counts what became of a caller.
func (w *world) count(c *caller, raise func(*Tally)) {
	if c.done {
		return
	}
	c.done = true
	raise(w.report.Kinds[c.kind.Route])
	raise(w.report.Teams[c.team])
	raise(w.second(c))
}

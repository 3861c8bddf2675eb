package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"monsoonlanding/internal/core/placement"
	"monsoonlanding/internal/core/rollout"
	"monsoonlanding/internal/core/store"
)

// streamPlay plays streams through a node during a rollout.
type streamPlay struct {
	*bench
	rng *rand.Rand
	// rate is the number of requests a second, factor the slowness of the new
	// version.
	rate, factor float64
	// beginFloor is the part of the begin latency that does not depend on the
	// version.
	beginFloor time.Duration
	// emptyCaches delays the begin of the new version's streams.
	emptyCaches bool
	// failing and newFailing are the fractions of the old and of the new version's
	// streams that fail.
	failing, newFailing float64
	// burst is when three times the requests arrive for burstTime, and all engines
	// take twice as long; zero for never.
	burst   time.Time
	pending []timedEvent
	// due is the part of a request that is due at the next tick.
	due float64
	// sent counts the requests, newer those of them at the new version.
	sent, newer int
}

type timedEvent struct {
	at    time.Time
	event Event
}

const (
	playTick  = 50 * time.Millisecond
	burstTime = 8 * time.Second
)

func (p *streamPlay) inBurst() bool {
	return !p.burst.IsZero() && !p.now.Before(p.burst) && p.now.Before(p.burst.Add(burstTime))
}

func newStreamPlay(t *testing.T, node string, seed uint64, rate, factor float64) *streamPlay {
	p := &streamPlay{bench: newBench(t, node), rng: rand.New(rand.NewPCG(seed, 3)), rate: rate, factor: factor, beginFloor: 45 * time.Millisecond}
	p.ready(versionedModel("m1", "v1"), versionedModel("m2", "v1"))
	p.g.table.Services()[1].Engine.Slots = 100_000
	p.g.table.Services()[1].Engine.MemoryTokens = 1_000_000_000
	p.g.table.Teams()[0].Rate = 0
	return p
}

func versionedModel(id, version string) placement.Upstream {
	u := up(id, "model")
	u.Version = version
	return u
}

// send sends a request and plans the events of its stream: 20 to 100 events, 10 to
// 30 ms apart, times the factor at the new version.
func (p *streamPlay) send() {
	p.sent++
	conn, effects := p.submit(Request{Path: "/plan/1", Key: "k", Prompt: placement.Prompt{InputTokens: 100, MaxOutputTokens: 300}})
	d, ok := findDispatch(effects)
	if !ok {
		return
	}
	factor := 1.0
	if d.Upstream.Version == "v2" {
		factor = p.factor
		p.newer++
	}
	if p.inBurst() {
		factor *= 2
	}
	scale := func(d time.Duration) time.Duration { return time.Duration(factor * float64(d)) }
	begin := p.now.Add(p.beginFloor + scale(time.Duration(p.rng.ExpFloat64()*float64(30*time.Millisecond))))
	if p.emptyCaches && d.Upstream.Version == "v2" {
		begin = begin.Add(75 * time.Millisecond)
	}
	interval := scale(10*time.Millisecond + time.Duration(p.rng.Int64N(int64(20*time.Millisecond))))
	events := 20 + p.rng.IntN(80)
	result := ResultComplete
	failing := p.failing
	if d.Upstream.Version == "v2" {
		failing = p.newFailing
	}
	if p.rng.Float64() < failing {
		result = ResultBroken
	}
	p.plan(begin, Began{Conn: conn, Attempt: d.Attempt})
	p.plan(begin.Add((PaceEvents-1)*interval), Paced{Conn: conn, Attempt: d.Attempt, Interval: interval})
	p.plan(begin.Add(time.Duration(events)*interval), Ended{Conn: conn, Attempt: d.Attempt, Result: result, AnswerSent: true})
}

func (p *streamPlay) plan(at time.Time, e Event) {
	p.pending = append(p.pending, timedEvent{at, e})
}

// play plays for a duration and returns the last state written and when.
func (p *streamPlay) play(d time.Duration) (state rollout.State, at time.Duration) {
	start := p.now
	for end := p.now.Add(d); p.now.Before(end); {
		if state := p.step(nil); state != "" {
			return state, p.now.Sub(start)
		}
	}
	return "", d
}

// step plays one tick and returns the state of the rollout if it was written. send
// gets the messages to peers unless it is nil.
func (p *streamPlay) step(send func(Send)) (state rollout.State) {
	p.now = p.now.Add(playTick)
	rate := p.rate
	if p.inBurst() {
		rate *= 3
	}
	for p.due += rate * playTick.Seconds(); p.due >= 1; p.due-- {
		p.send()
	}
	remaining := p.pending[:0]
	for _, e := range p.pending {
		if p.now.Before(e.at) {
			remaining = append(remaining, e)
			continue
		}
		p.reduce(e.event)
	}
	p.pending = remaining
	for _, e := range p.reduce(Tick{}) {
		switch e := e.(type) {
		case WriteRollout:
			p.reduce(RolloutWritten{Order: e.Order, Done: true})
			state = e.Order.State
		case Send:
			if send != nil {
				send(e)
			}
		}
	}
	return state
}

// order starts the new version's upstreams and orders the rollout.
func (p *streamPlay) order() {
	p.list(versionedModel("m1", "v1"), versionedModel("m2", "v1"), versionedModel("m3", "v2"), versionedModel("m4", "v2"))
	p.reduce(RolloutsChanged{Orders: []rollout.Order{{Service: "model", Target: "v2", TimeLimit: 15 * time.Second, Revision: store.Revision{Number: 3}}}})
}

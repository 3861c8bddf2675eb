package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"monsoonlanding/internal/core/placement"
)

// TestLoadOfEachAnswerCounts: the load was taken at the end of an answer alone, seconds after its
// head, and as if it were fresh.
func TestLoadOfEachAnswerCounts(t *testing.T) {
	load := Signals{Load: &Load{Running: 4, Waiting: 2, Slots: 6, Slowdown: 2.5}}
	want := placement.Report{Running: 4, Waiting: 2, Slots: 6, Slowdown: 2.5}
	for _, row := range []struct {
		name  string
		event func(b *bench, d Dispatch) Event
		want  placement.Report
	}{
		{"head of an answer", func(_ *bench, d Dispatch) Event {
			return Began{Conn: d.Conn, Attempt: d.Attempt, Signals: load}
		}, want},
		{"refusal", func(_ *bench, d Dispatch) Event {
			return Ended{Conn: d.Conn, Attempt: d.Attempt, Result: ResultFull, Framing: FramingLength, Signals: load}
		}, want},
		{"error", func(_ *bench, d Dispatch) Event {
			return Ended{Conn: d.Conn, Attempt: d.Attempt, Result: ResultErrored, Framing: FramingLength, Signals: load}
		}, want},
		{"dropped answer", func(b *bench, d Dispatch) Event {
			return AnswerDropped{Upstream: d.Upstream, StartedAt: b.now, Signals: load}
		}, want},
		{"answer to a move", func(b *bench, d Dispatch) Event {
			return Moved{Conn: d.Conn, Outcome: MoveAbsent, Source: d.Upstream, StartedAt: b.now, Answered: true, Signals: load}
		}, want},
		{"answer of another upstream", func(_ *bench, d Dispatch) Event {
			return Ended{Conn: d.Conn, Attempt: d.Attempt, Result: ResultMisdirected, Framing: FramingLength, Signals: load}
		}, placement.Report{}},
		{"answer of an earlier process", func(b *bench, d Dispatch) Event {
			next := d.Upstream
			next.StartedAt = b.now
			b.list(next)
			return AnswerDropped{Upstream: d.Upstream, StartedAt: b.now, Signals: load}
		}, placement.Report{}},
	} {
		t.Run(row.name, func(t *testing.T) {
			b := newBench(t, "a")
			b.ready(up("d1", "desk"))
			_, effects := b.arrive("/read/1")
			b.reduce(row.event(b, b.dispatch(effects)))
			report, at := b.g.upstreams.LatestReport("d1")
			b.Assert(report, qt.Equals, row.want)
			if row.want != (placement.Report{}) {
				b.Assert(at, qt.Equals, b.now)
			}
		})
	}
}

// TestLoadIsAsOldAsItsHead: neither a late first event nor the end of a stream makes a load newer,
// and an earlier one does not replace a later one.
func TestLoadIsAsOldAsItsHead(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("m1", "model"))
	_, effects := b.arrive("/plan/1")
	d := b.dispatch(effects)
	head := b.now.Add(time.Second)
	signals := Signals{ReceivedAt: head, Load: &Load{Running: 9, Slots: 64}}
	b.wait(2 * time.Second)
	b.reduce(Began{Conn: d.Conn, Attempt: d.Attempt, Signals: signals})
	_, at := b.g.upstreams.LatestReport("m1")
	b.Assert(at, qt.Equals, head)

	b.reduce(AnswerDropped{Upstream: d.Upstream, StartedAt: b.now, Signals: Signals{
		ReceivedAt: head.Add(-time.Millisecond), Load: &Load{Running: 1, Slots: 64},
	}})
	report, _ := b.g.upstreams.LatestReport("m1")
	b.Assert(report.Running, qt.Equals, 9)

	b.wait(2 * time.Second)
	b.reduce(Ended{Conn: d.Conn, Attempt: d.Attempt, Result: ResultComplete, Framing: FramingChunks, Signals: signals})
	_, at = b.g.upstreams.LatestReport("m1")
	b.Assert(at, qt.Equals, head)
}

// TestInvalidLoadIsToldOnce: a load that can't be read is counted each time and logged once for
// each process of an upstream.
func TestInvalidLoadIsToldOnce(t *testing.T) {
	b := newBench(t, "a")
	u := up("d1", "desk")
	b.ready(u)
	send := func() (invalid, lines int) {
		for range 3 {
			for _, e := range b.reduce(AnswerDropped{Upstream: u, StartedAt: b.now, Signals: Signals{LoadError: errors.New("load")}}) {
				switch e := e.(type) {
				case Count:
					b.Assert(e, qt.Equals, Count{Counter: CountLoad, Label: loadInvalid})
					invalid++
				case Log:
					lines++
				}
			}
		}
		return invalid, lines
	}
	for range 2 {
		invalid, lines := send()
		b.Assert(invalid, qt.Equals, 3)
		b.Assert(lines, qt.Equals, 1)
		u.StartedAt = u.StartedAt.Add(time.Second)
		b.list(u)
	}
}

// TestRelayedLoadIsLeftToItsNode: what an answer says that another node relays is of an upstream
// that this node has not chosen.
func TestRelayedLoadIsLeftToItsNode(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("d1", "desk"))
	peer := status("b")
	peer.TakesRelays, peer.Reaches = true, true
	b.receive(peer)
	b.g.paths.lost = true
	_, effects := b.arrive("/read/1")
	d := b.dispatch(effects)
	b.Assert(d.Relay.Node, qt.Equals, "b")
	signals := Signals{Load: &Load{Running: 9, Slots: 6}}
	b.reduce(Began{Conn: d.Conn, Attempt: d.Attempt, Signals: signals})
	b.reduce(Ended{Conn: d.Conn, Attempt: d.Attempt, Result: ResultComplete, Framing: FramingLength, Signals: signals})
	report, _ := b.g.upstreams.LatestReport("d1")
	b.Assert(report, qt.Equals, placement.Report{})
}

// TestSlowUpstreamsAreCounted: operators see which upstreams report how long work takes, while the
// reports last, and one line for each service.
func TestSlowUpstreamsAreCounted(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("d1", "desk"), up("d2", "desk"), up("m1", "model"))
	lines := 0
	for id, slowdown := range map[string]float64{"d1": 2.5, "d2": 1, "m1": 0} {
		u, _ := b.g.upstreams.Get(id)
		for _, e := range b.reduce(AnswerDropped{Upstream: u, StartedAt: b.now, Signals: Signals{Load: &Load{Slots: 6, Slowdown: slowdown}}}) {
			if l, ok := e.(Log); ok && l.Step == "load" {
				lines++
			}
		}
	}
	b.Assert(lines, qt.Equals, 1)
	desk := b.g.State().Services["desk"]
	b.Assert([]int{desk.Reporting, desk.Slow}, qt.DeepEquals, []int{2, 1})
	b.Assert(b.g.State().Services["model"].Reporting, qt.Equals, 0)
	b.wait(time.Second)
	desk = b.g.State().Services["desk"]
	b.Assert([]int{desk.Reporting, desk.Slow}, qt.DeepEquals, []int{0, 0})
}

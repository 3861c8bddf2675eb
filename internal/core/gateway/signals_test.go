package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/placement"
)

// TestEarlierProcessSaysNothingOfTheNext: an upstream that had started again under its ID was
// limited, brittle or ejected for what its former process had said or done.
func TestEarlierProcessSaysNothingOfTheNext(t *testing.T) {
	for _, row := range []struct {
		name  string
		ended Ended
	}{
		{"limit", Ended{Result: ResultErrored, Signals: Signals{RateLimit: placement.RateLimit{Named: true, PerSecond: 0.1}}}},
		{"brittle", Ended{Result: ResultErrored, Signals: Signals{Brittle: placement.RateLimit{Named: true}}}},
		{"pause", Ended{Result: ResultFull, Signals: Signals{Pause: time.Minute}}},
		{"full", Ended{Result: ResultFull}},
		{"broken", Ended{Result: ResultBroken}},
	} {
		t.Run(row.name, func(t *testing.T) {
			b := newBench(t, "a")
			b.ready(up("d1", "desk"))
			b.receive(status("b"))
			b.g.table.Teams()[0].Rate = 0
			type sent struct {
				conn    uint64
				attempt int
			}
			var earlier []sent
			for range 4 {
				conn, effects := b.arrive("/book/1")
				earlier = append(earlier, sent{conn, b.dispatch(effects).Attempt})
			}
			next := up("d1", "desk")
			next.StartedAt = b.now
			b.list(next)
			for _, r := range earlier {
				e := row.ended
				e.Conn, e.Attempt, e.Framing = r.conn, r.attempt, FramingLength
				b.reduce(e)
			}
			b.endRunning(ResultComplete)
			for range 6 {
				_, effects := b.arrive("/book/2")
				b.Assert(b.dispatch(effects).Upstream.ID, qt.Equals, "d1")
			}
		})
	}
}

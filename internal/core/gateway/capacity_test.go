package gateway

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/placement"
)

// answer has a request answered that took a time at an upstream.
func (b *bench) answer(took time.Duration) {
	_, effects := b.arrive("/read/1")
	d := b.dispatch(effects)
	b.now = b.now.Add(took)
	b.reduce(Ended{Conn: d.Conn, Attempt: d.Attempt, Result: ResultComplete, Framing: FramingLength})
	b.reduce(HandlerEnded{Conn: d.Conn})
}

// TestSamplesReachPeers: a node sees few answers of an upstream. What its peers see counts as well,
// shows in its state and its log, and is sent only if the settings say so.
func TestSamplesReachPeers(t *testing.T) {
	for _, learning := range []placement.Learning{"", placement.LearnOff, placement.LearnReported, placement.LearnOn} {
		t.Run(fmt.Sprint("learn ", learning), func(t *testing.T) {
			a, b := newBench(t, "a"), newBench(t, "b")
			for _, n := range []*bench{a, b} {
				n.reduce(SettingsChanged{Bounds: testBounds(), Learning: learning})
				n.ready(up("d1", "desk"))
				n.list(up("d1", "desk"), up("d2", "desk"), up("d3", "desk"))
			}
			a.list(up("d1", "desk"))
			for range 10 {
				a.answer(40 * time.Millisecond)
			}
			for range 5 {
				a.answer(160 * time.Millisecond)
			}
			b.now = a.now
			s := a.g.status()
			a.Assert(s.Samples != nil, qt.Equals, learning == placement.LearnOn)
			b.receive(s)
			logged := false
			for _, e := range b.wait(2 * time.Second) {
				line, ok := e.(Log)
				logged = logged || ok && line.Step == "capacity"
			}
			c, known := b.g.State().Capacity["d1"]
			b.Assert(known, qt.Equals, learning == placement.LearnOn)
			b.Assert(logged, qt.Equals, learning == placement.LearnOn)
			if known {
				b.Assert(c.Factor > 1.2, qt.Equals, true)
			}
		})
	}
}

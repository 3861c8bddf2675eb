package gateway

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/memory"
)

func TestLastEventEnd(t *testing.T) {
	c := qt.New(t)
	for text, end := range map[string]int{
		"":                              0,
		"id: 1\ndata: a":                0,
		"id: 1\ndata: a\n":              0,
		"id: 1\ndata: a\n\n":            15,
		"id: 1\ndata: a\n\nid: 2":       15,
		"id: 1\r\ndata: a\r\n\r\nid: 2": 18,
		"data: a\n\ndata: b\n\nid":      18,
		"id: 1\rdata: a\r\rid: 2":       15,
		"id: 1\ndata: a\n\r\nid: 2":     16,
	} {
		c.Assert(lastEventEnd([]byte(text)), qt.Equals, end, qt.Commentf("%q", text))
	}
}

func TestLastEventID(t *testing.T) {
	c := qt.New(t)
	for text, id := range map[string]string{
		"":                                    "",
		"data: a\n\n":                         "",
		"id: 1\ndata: a\n\n":                  "1",
		"id: 1\ndata: a\n\nid:2\ndata: b\n\n": "2",
		"data: id: 9\n\n":                     "",
		"id: 3\ndata: id: 9\n\n":              "3",
		"weight-versions: 4\nid: 5\r\n\n":     "5",
		"id: 6\rdata: a\r\r":                  "6",
	} {
		c.Assert(lastEventID([]byte(text)), qt.Equals, id, qt.Commentf("%q", text))
	}
}

func TestIsPartialEvent(t *testing.T) {
	c := qt.New(t)
	for text, partial := range map[string]bool{
		"":                 false,
		": comment\n":      false,
		":\r\n: again\r\n": false,
		"\n":               false,
		": comm":           true,
		"id: 1\n":          true,
		": c\ndata: a\n":   true,
		"data":             true,
	} {
		c.Assert(isPartialEvent([]byte(text)), qt.Equals, partial, qt.Commentf("%q", text))
	}
}

func TestCountEvents(t *testing.T) {
	c := qt.New(t)
	for text, n := range map[string]int{
		"":                               0,
		": comment\n":                    0,
		"data: a\n\n":                    1,
		"data: a\r\n\r\ndata: b\r\n\r\n": 2,
		"data: a\r\rdata: b\r\r":         2,
		"data: a\n\ndata: b":             1,
	} {
		c.Assert(countEvents([]byte(text)), qt.Equals, n, qt.Commentf("%q", text))
	}
}

// TestHeldEventsGiveBackTheirMemory: a long event is taken from the budget until it is relayed, and fails if it does
// not fit; short ones take nothing.
func TestHeldEventsGiveBackTheirMemory(t *testing.T) {
	c := qt.New(t)
	budget := memory.New(100_000)
	e := heldEvents{lease: budget.Lease(memory.Answer)}
	taken := func() int64 { return budget.Taken()[memory.Answer] }
	piece := make([]byte, 4000)
	c.Assert(e.add(piece), qt.IsTrue)
	c.Assert(taken(), qt.Equals, int64(0))
	for range 10 {
		c.Assert(e.add(piece), qt.IsTrue)
		c.Assert(taken() >= int64(len(e.bytes)), qt.IsTrue)
	}
	e.drop(10 * len(piece))
	c.Assert(len(e.bytes), qt.Equals, len(piece))
	c.Assert(taken(), qt.Equals, int64(0))
	fits := 0
	for ; e.add(piece); fits++ {
		c.Assert(fits < 100, qt.IsTrue)
	}
	c.Assert(fits > 5, qt.IsTrue)
	c.Assert(taken() <= 75_000, qt.IsTrue)
}

package operatorhttp

import (
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/standin/rawhttp"
)

// TestAnswerOfNodeWithoutEnd: an answer without end is an error, and no more than
// its limit is read.
func TestAnswerOfNodeWithoutEnd(t *testing.T) {
	c := qt.New(t)
	// socketBytes is what the kernel may hold of bytes that nobody has read.
	const socketBytes = 16 << 20
	var sent atomic.Int64
	client := newTestClient(c, rawhttp.Answer{Head: rawhttp.Unmarked, Body: `{"text":"`, Endless: "x", Sent: &sent})
	_, err := client.Rules(t.Context())
	c.Assert(err, qt.IsNotNil)
	c.Assert(sent.Load() <= maxAnswerBytes+socketBytes, qt.IsTrue, qt.Commentf("%d bytes", sent.Load()))
}

package cloudhttp

import (
	"net/http"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/standin/rawhttp"
)

// TestListOfVMsWithoutEnd: an answer without end is an error, and no more than its
// limit is read.
func TestListOfVMsWithoutEnd(t *testing.T) {
	c := qt.New(t)
	// socketBytes is what the kernel may hold of bytes that nobody has read.
	const socketBytes = 16 << 20
	var sent atomic.Int64
	address := rawhttp.Start(c, rawhttp.Answer{Head: rawhttp.Unmarked, Body: `[{"id":"`, Endless: "x", Sent: &sent})
	_, err := New("http://"+address, "token", http.DefaultClient).Upstreams(t.Context())
	c.Assert(err, qt.IsNotNil)
	c.Assert(sent.Load() <= maxDocumentBytes+socketBytes, qt.IsTrue, qt.Commentf("%d bytes", sent.Load()))
}

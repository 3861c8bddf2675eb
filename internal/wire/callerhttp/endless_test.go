package callerhttp

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/run/clock"
	"monsoonlanding/internal/standin/rawhttp"
)

// TestNodeWithoutEnd: a caller's call to a node that answers without end fails in the
// time of the call, and no more than its limits is read.
func TestNodeWithoutEnd(t *testing.T) {
	const (
		// socketBytes is what the kernel may hold of bytes that nobody has read.
		socketBytes = 16 << 20
		timeout     = time.Second
	)
	for name, answer := range map[string]rawhttp.Answer{
		"refusal":        {Head: "HTTP/1.1 503 Service Unavailable\r\n" + rawhttp.Unmarked, Body: `{"reason":"`, Endless: "x"},
		"event":          {Head: rawhttp.Unmarked, Body: "data: ", Endless: "x"},
		"events, slowly": {Head: rawhttp.Unmarked, Endless: "event: accepted\ndata: {}\n\n", Pause: 50 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			address := rawhttp.Start(c, answer)
			client := NewClient([]string{address}, "key", http.DefaultClient, clock.System{})
			client.cacheAddresses(Addresses{Addresses: []Address{{Address: address}}, TTLSeconds: 60})
			start := time.Now()
			_, err := client.Do(t.Context(), Call{Service: "s", Key: "k", Body: []byte("{}"), Timeout: timeout}, nil)
			c.Check(err, qt.IsNotNil)
			c.Check(time.Since(start) < timeout+AddressTTL+time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
		})
	}
	t.Run("addresses", func(t *testing.T) {
		c := qt.New(t)
		var sent atomic.Int64
		address := rawhttp.Start(c, rawhttp.Answer{Head: rawhttp.Unmarked, Body: `{"x":"`, Endless: "x", Sent: &sent})
		_, err := NewClient([]string{address}, "key", http.DefaultClient, clock.System{}).Addresses(t.Context())
		c.Check(err, qt.IsNotNil)
		c.Check(sent.Load() <= maxDocumentBytes+socketBytes, qt.IsTrue, qt.Commentf("%d bytes", sent.Load()))
	})
}

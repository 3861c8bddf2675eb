package upstreamhttp

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/node"
	"monsoonlanding/internal/core/upstream"
	"monsoonlanding/internal/standin/rawhttp"
)

// TestAnswersWithoutEnd: an upstream that answers without end fails the attempt, in
// its time and after what its limit allows.
func TestAnswersWithoutEnd(t *testing.T) {
	const (
		// socketBytes is what the kernel may hold of bytes that nobody has read.
		socketBytes = 16 << 20
		// headBytes is the bound of net/http's transport.
		headBytes = 10 << 20
		limit     = 5 * time.Second
	)
	long := strings.Repeat("x", 1<<10)
	events := "event: token\ndata: {\"offset\":0,\"tokens\":[\"" + long + "\"]}\n\n"
	for _, row := range []struct {
		name   string
		kind   upstream.Kind
		answer rawhttp.Answer
		cause  node.Cause
		bytes  int64
	}{
		{"engine, head", upstream.Engine, rawhttp.Answer{EndlessHead: true, Endless: "Name: value\r\n"}, node.CauseCrashed, headBytes},
		{"engine, head, slowly", upstream.Engine, rawhttp.Answer{EndlessHead: true, Endless: "Name: value\r\n", Pause: 50 * time.Millisecond}, node.CauseStalled, headBytes},
		{"engine, events", upstream.Engine, rawhttp.Answer{Head: rawhttp.Unmarked, Endless: events}, node.CauseError, 2 * maxStreamBytes},
		{"engine, one event", upstream.Engine, rawhttp.Answer{Head: rawhttp.Unmarked, Body: "data: ", Endless: "x"}, node.CauseCrashed, maxEventBytes},
		{"engine, comments, slowly", upstream.Engine, rawhttp.Answer{Head: rawhttp.Unmarked, Endless: ":\n\n", Pause: 50 * time.Millisecond}, node.CauseStalled, maxEventBytes},
		{"plain", upstream.Plain, rawhttp.Answer{Head: rawhttp.Unmarked, Body: `"`, Endless: "x"}, node.CauseError, maxResultBytes},
		{"plain, slowly", upstream.Plain, rawhttp.Answer{Head: rawhttp.Unmarked, Body: `"`, Endless: "x", Pause: 50 * time.Millisecond}, node.CauseStalled, maxResultBytes},
		{"plain, refusal", upstream.Plain, rawhttp.Answer{Head: "HTTP/1.1 503 Service Unavailable\r\n" + rawhttp.Unmarked, Endless: "x"}, node.CauseError, maxResultBytes},
		{"plain, rejection", upstream.Plain, rawhttp.Answer{Head: "HTTP/1.1 409 Conflict\r\n" + rawhttp.Unmarked, Endless: "x"}, node.CauseRejected, maxResultBytes},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			var sent atomic.Int64
			row.answer.Sent = &sent
			start := time.Now()
			progress := time.Second
			if row.answer.Pause == 0 {
				// The bound in bytes must end it; a busy machine takes a second to read as much.
				progress = limit - time.Second
			}
			failed, ok := runWithTimeout(rawhttp.Start(c, row.answer), row.kind, progress).(node.UpstreamFailed)
			c.Assert(ok, qt.IsTrue)
			c.Check(failed.Cause, qt.Equals, row.cause, qt.Commentf("%s", failed.Detail))
			c.Check(time.Since(start) < limit, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
			c.Check(sent.Load() <= row.bytes+socketBytes, qt.IsTrue, qt.Commentf("%d bytes", sent.Load()))
		})
	}
}

// TestLoadReportWithoutEnd is no report.
func TestLoadReportWithoutEnd(t *testing.T) {
	c := qt.New(t)
	address := rawhttp.Start(c, rawhttp.Answer{Head: rawhttp.Unmarked, Body: `{"x":"`, Endless: "x"})
	_, err := New(http.DefaultClient).Load(t.Context(), upstream.Upstream{Address: address}, time.Now())
	c.Assert(err, qt.IsNotNil)
}

package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	core "monsoonlanding/internal/core/gateway"
)

func TestSamplerBoundsLoggedRequests(t *testing.T) {
	c := qt.New(t)
	var s sampler
	at := time.Unix(1000, 0)
	count := func(second, requests int) int {
		selected := 0
		for i := range requests {
			if s.selected(at.Add(time.Duration(second)*time.Second), fmt.Sprint(second, "-", i)) {
				selected++
			}
		}
		return selected
	}
	c.Assert(count(0, loggedPerSecond), qt.Equals, loggedPerSecond)
	count(1, 5000)
	steady := count(2, 5000)
	c.Assert(steady > loggedPerSecond/2 && steady < 2*loggedPerSecond, qt.IsTrue, qt.Commentf("%d", steady))
	c.Assert(count(9, loggedPerSecond), qt.Equals, loggedPerSecond)
}

// TestFailedRequestIsLogged checks that, at a rate at which requests are
// sampled, all lines of a failed request are written and none of a successful
// one.
func TestFailedRequestIsLogged(t *testing.T) {
	c := qt.New(t)
	server, r := newTestNode(c, func(w http.ResponseWriter, req *http.Request) {
		if strings.HasSuffix(req.URL.Path, "bad") {
			w.WriteHeader(http.StatusInternalServerError)
		}
	})
	var out bytes.Buffer
	r.mu.Lock()
	r.log = zerolog.New(&out)
	r.cfg.LogOutput = &out
	r.mu.Unlock()
	for _, path := range []string{"/t/good", "/t/bad"} {
		r.exceedLogRate()
		resp, err := get(c, context.Background(), server, path)
		c.Assert(err, qt.IsNil)
		c.Assert(resp.Body.Close(), qt.IsNil)
	}
	for r.handlerCount() > 0 {
		time.Sleep(time.Millisecond)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	text := out.String()
	c.Assert(text, qt.Not(qt.Contains), "complete")
	c.Assert(text, qt.Contains, `"step":"place"`)
	c.Assert(text, qt.Contains, `"message":"errored"`)
}

// exceedLogRate sets the sampler's count so high that it selects no request.
func (r *Runner) exceedLogRate() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sampler = sampler{second: r.cfg.Clock.Now().Unix(), current: 1 << 62}
}

// BenchmarkLogLine measures the cost of a log line about a request, without
// that of its writer.
func BenchmarkLogLine(b *testing.B) {
	r := newTestRunner()
	r.log = zerolog.New(io.Discard).With().Timestamp().Str("node", "edge-zone-a-1").Logger()
	line := core.Log{Step: "place", Request: "9c41d07be2a35f68", Message: "dispatched", Inputs: []any{
		"upstream", "i-4ddf84e05f", "attempt", 1, "moved", false, "running", 6, "prefill", 592,
		"input", 12000, "waited_ms", int64(3), "config", int64(7), "route", "plan", "team", "crew",
	}}
	for b.Loop() {
		r.writeLog(line)
	}
}

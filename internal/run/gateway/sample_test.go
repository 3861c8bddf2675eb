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

func TestSamplerBoundsTheLoggedRequests(t *testing.T) {
	c := qt.New(t)
	var s sampler
	at := time.Unix(1000, 0)
	count := func(second, requests int) int {
		chosen := 0
		for i := range requests {
			if s.chosen(at.Add(time.Duration(second)*time.Second), fmt.Sprint(second, "-", i)) {
				chosen++
			}
		}
		return chosen
	}
	c.Assert(count(0, loggedRequests), qt.Equals, loggedRequests)
	count(1, 5000)
	steady := count(2, 5000)
	c.Assert(steady > loggedRequests/2 && steady < 2*loggedRequests, qt.IsTrue, qt.Commentf("%d", steady))
	c.Assert(count(9, loggedRequests), qt.Equals, loggedRequests)
}

// TestFailedRequestKeepsItsLines: at a rate at which lines are sampled, a
// request that ends well leaves none, one that fails leaves all.
func TestFailedRequestKeepsItsLines(t *testing.T) {
	c := qt.New(t)
	server, r := front(c, func(w http.ResponseWriter, req *http.Request) {
		if strings.HasSuffix(req.URL.Path, "bad") {
			w.WriteHeader(http.StatusInternalServerError)
		}
	})
	var out bytes.Buffer
	r.mu.Lock()
	r.log = zerolog.New(&out)
	r.cfg.Lines = &out
	r.mu.Unlock()
	for _, path := range []string{"/t/good", "/t/bad"} {
		r.overload()
		resp, err := ask(c, context.Background(), server, path)
		c.Assert(err, qt.IsNil)
		c.Assert(resp.Body.Close(), qt.IsNil)
	}
	for r.requests() > 0 {
		time.Sleep(time.Millisecond)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	text := out.String()
	c.Assert(text, qt.Not(qt.Contains), "complete")
	c.Assert(text, qt.Contains, `"step":"place"`)
	c.Assert(text, qt.Contains, `"message":"errored"`)
}

// overload makes the sampler believe in so many requests that none is chosen
// at once.
func (r *Runner) overload() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sampler = sampler{second: r.cfg.Clock.Now().Unix(), present: 1 << 62}
}

// BenchmarkLogLine measures a line about a request, written to nowhere.
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

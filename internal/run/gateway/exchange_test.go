package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	core "monsoonlanding/internal/core/gateway"
)

// TestRequestIsWithheldDuringPause: a request that was dispatched before its upstream asked for a
// pause, and whose connection took longer than that, was written in the pause.
func TestRequestIsWithheldDuringPause(t *testing.T) {
	c := qt.New(t)
	var mu sync.Mutex
	var reached []string
	server, r := newTestNode(c, func(w http.ResponseWriter, req *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		reached = append(reached, req.URL.Path)
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	encode, classify := r.cfg.Protocol.EncodeHeader, r.cfg.Protocol.ClassifyHead
	r.cfg.Protocol.ClassifyHead = func(id string, status int, h http.Header) Head {
		head := classify(id, status, h)
		head.Signals.Pause = 3 * time.Second
		return head
	}
	var overtaken atomic.Bool
	r.cfg.Protocol.EncodeHeader = func(h http.Header, d core.Dispatch, remaining time.Duration, lastEvent string) http.Header {
		if !overtaken.Swap(true) {
			resp, err := get(c, context.Background(), server, "/q/overtakes")
			c.Check(err, qt.IsNil)
			c.Check(resp.Body.Close(), qt.IsNil)
		}
		return encode(h, d, remaining, lastEvent)
	}
	done := make(chan struct{})
	c.Cleanup(func() { close(done) })
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(core.TickInterval):
				r.submit(core.Tick{})
			}
		}
	}()
	resp, err := get(c, context.Background(), server, "/q/1")
	c.Assert(err, qt.IsNil)
	c.Assert(resp.Body.Close(), qt.IsNil)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(reached, qt.DeepEquals, []string{"/q/overtakes"})
}

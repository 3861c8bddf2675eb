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
	"monsoonlanding/internal/core/placement"
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

// TestPauseOfDroppedAnswerCounts: a pause was not known to the node if the caller of the request that
// was turned away left at the same time. The caller leaves once the node has read the head: of an
// answer that has not arrived yet, the node can't know the pause.
func TestPauseOfDroppedAnswerCounts(t *testing.T) {
	c := qt.New(t)
	ctx, leave := context.WithCancel(context.Background())
	c.Cleanup(leave)
	server, r := newTestNode(c, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "10")
		w.WriteHeader(http.StatusServiceUnavailable)
		w.(http.Flusher).Flush()
		// The node waits for the body for a moment.
		time.Sleep(200 * time.Millisecond)
	})
	left := make(chan (<-chan struct{}), 1)
	serve := server.Config.Handler
	server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		left <- req.Context().Done()
		serve.ServeHTTP(w, req)
	})
	classify := r.cfg.Protocol.ClassifyHead
	r.cfg.Protocol.ClassifyHead = func(id string, status int, h http.Header) Head {
		leave()
		<-<-left
		head := classify(id, status, h)
		head.Signals.Pause = time.Minute
		return head
	}
	_, err := get(c, ctx, server, "/q/1")
	c.Assert(err, qt.IsNotNil)
	paused := func() bool {
		return !r.admits(placement.Upstream{ID: "u0"})
	}
	for end := time.Now().Add(5 * time.Second); !paused() && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	c.Assert(paused(), qt.IsTrue)
}

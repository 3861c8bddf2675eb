package http1

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/run/clock"
	"monsoonlanding/internal/standin/faultproxy"
)

// TestSilentConnectionIsNotReused guards against a kept connection that has gone silent without a
// reset while new ones work: the request on it ends by its own deadline, as one that may have
// run, and the next request opens a new connection.
func TestSilentConnectionIsNotReused(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	c.Cleanup(server.Close)
	proxy := faultproxy.New(server.Listener.Addr().String())
	c.Cleanup(proxy.Close)
	pool := New(Config{Clock: clock.System{}})
	do := func(deadline time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), deadline)
		defer cancel()
		answer, err := pool.Do(ctx, proxy.Address(), &Request{Method: http.MethodGet, Target: "/", Host: "h"})
		if err != nil {
			return err
		}
		defer answer.Close()
		return answer.Drain(1<<10, time.Second)
	}
	c.Assert(do(time.Second), qt.IsNil)
	proxy.SilenceOpen()
	begin := time.Now()
	err := do(200 * time.Millisecond)
	c.Assert(err, qt.IsNotNil)
	c.Assert(Written(err), qt.IsTrue)
	c.Assert(time.Since(begin) < time.Second, qt.IsTrue)
	c.Assert(do(time.Second), qt.IsNil)
}

// TestSilenceInsideAnAnswerEndsItByItsDeadline: bytes that stop in the middle of an answer are
// no end of it.
func TestSilenceInsideAnAnswerEndsItByItsDeadline(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "the first half, ")
		w.(http.Flusher).Flush()
		<-release
		_, _ = io.WriteString(w, "the second half")
	}))
	c.Cleanup(server.Close)
	proxy := faultproxy.New(server.Listener.Addr().String())
	c.Cleanup(proxy.Close)
	pool := New(Config{Clock: clock.System{}})
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	answer, err := pool.Do(ctx, proxy.Address(), &Request{Method: http.MethodGet, Target: "/", Host: "h"})
	c.Assert(err, qt.IsNil)
	defer answer.Close()
	proxy.SilenceOpen()
	close(release)
	c.Assert(answer.Drain(1<<10, time.Minute), qt.IsNotNil)
}

package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	core "monsoonlanding/internal/core/gateway"
)

// newTestNode starts a node with one upstream per handler.
func newTestNode(c *qt.C, upstreams ...http.HandlerFunc) (*httptest.Server, *Runner) {
	var addresses []string
	for _, h := range upstreams {
		server := httptest.NewServer(h)
		c.Cleanup(server.Close)
		addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
	}
	r := newTestRunner(addresses...)
	return serveNode(c, r), r
}

// serveNode serves callers by a runner.
func serveNode(c *qt.C, r *Runner) *httptest.Server {
	server := httptest.NewUnstartedServer(nil)
	server.Config = r.callerServer()
	server.Start()
	c.Cleanup(server.Close)
	return server
}

func get(c *qt.C, ctx context.Context, server *httptest.Server, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL+path, nil)
	c.Assert(err, qt.IsNil)
	req.Host = "h"
	return server.Client().Do(req)
}

func event(id int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", id, id) }

// streamHandler streams events up to the sixth. The first attempt breaks in the
// middle of the fourth.
func streamHandler(attempts *atomic.Int32) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		first := attempts.Add(1) == 1
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		w.Header().Set("Content-Type", "text/event-stream")
		for id := last + 1; id <= 6; id++ {
			if first && id == 4 {
				_, _ = io.WriteString(w, event(id)[:9])
				w.(http.Flusher).Flush()
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, event(id))
			w.(http.Flusher).Flush()
		}
	}
}

func TestBrokenStreamResumes(t *testing.T) {
	c := qt.New(t)
	var attempts atomic.Int32
	server, _ := newTestNode(c, streamHandler(&attempts), streamHandler(&attempts))
	resp, err := get(c, context.Background(), server, "/s/1")
	c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	want := ""
	for id := 1; id <= 6; id++ {
		want += event(id)
	}
	c.Assert(string(body), qt.Equals, want)
	c.Assert(attempts.Load(), qt.Equals, int32(2))
}

// TestBrokenStreamWithoutResumptionIsAborted checks that a broken stream that
// can't resume does not look complete and that no partial event is relayed.
func TestBrokenStreamWithoutResumptionIsAborted(t *testing.T) {
	c := qt.New(t)
	var attempts atomic.Int32
	server, _ := newTestNode(c, streamHandler(&attempts), streamHandler(&attempts))
	resp, err := get(c, context.Background(), server, "/d/1")
	c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNotNil)
	c.Assert(string(body), qt.Equals, event(1)+event(2)+event(3))
	c.Assert(attempts.Load(), qt.Equals, int32(1))
}

func TestUpstreamErrorIsRetried(t *testing.T) {
	c := qt.New(t)
	var attempts atomic.Int32
	h := func(w http.ResponseWriter, _ *http.Request) {
		if attempts.Add(1) == 1 {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		_, _ = io.WriteString(w, "good")
	}
	server, _ := newTestNode(c, h, h)
	resp, err := get(c, context.Background(), server, "/q/1")
	c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
	c.Assert(string(body), qt.Equals, "good")
}

// TestUnresponsiveUpstreamTimesOut checks that the caller is answered at the
// route's timeout of 200 ms and that the attempt is cancelled.
func TestUnresponsiveUpstreamTimesOut(t *testing.T) {
	c := qt.New(t)
	stopped := make(chan struct{})
	server, _ := newTestNode(c, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(stopped)
	})
	start := time.Now()
	resp, err := get(c, context.Background(), server, "/t/1")
	c.Assert(err, qt.IsNil)
	body, _ := io.ReadAll(resp.Body)
	c.Assert(string(body), qt.Equals, string(core.ReasonDeadlineExceeded))
	c.Assert(time.Since(start) < time.Second, qt.IsTrue)
	awaitClosed(c, stopped)
}

// TestCallerDisconnectCancelsAttempt checks that an attempt is cancelled and its
// handler removed when the caller disconnects.
func TestCallerDisconnectCancelsAttempt(t *testing.T) {
	c := qt.New(t)
	started, stopped := make(chan struct{}), make(chan struct{})
	server, r := newTestNode(c, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, event(1))
		w.(http.Flusher).Flush()
		close(started)
		<-r.Context().Done()
		close(stopped)
	})
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := get(c, ctx, server, "/d/1")
	c.Assert(err, qt.IsNil)
	awaitClosed(c, started)
	cancel()
	_ = resp.Body.Close()
	awaitClosed(c, stopped)
	for range 100 {
		if r.handlerCount() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Fatal("handler not removed within 1 s")
}

func awaitClosed(c *qt.C, done chan struct{}) {
	c.Helper()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		c.Fatal("channel not closed within 5 s")
	}
}

// handlerCount returns the number of requests being served.
func (r *Runner) handlerCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.handlers)
}

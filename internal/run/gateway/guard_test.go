package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	core "monsoonlanding/internal/core/gateway"
	"monsoonlanding/internal/core/placement"
	"monsoonlanding/internal/core/store"
)

// These tests guard against an unexpected error that takes down more than what it concerns: a
// panic, as one malformed message may cause it, ends one connection or one call.

// awaitNoRequests waits until the node holds no request.
func awaitNoRequests(c *qt.C, r *Runner) {
	held := func() int {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.handlers)
	}
	for range 100 {
		if held() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Fatalf("%d handlers are left", held())
}

// checkServes checks that a request is answered with the body "ok".
func checkServes(c *qt.C, get func(path string) (*http.Response, error), path string) {
	resp, err := get(path)
	c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(resp.Body.Close(), qt.IsNil)
	c.Assert(string(body), qt.Equals, "ok")
}

// answerOK answers with "ok".
func answerOK(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

// TestPanicOfHandlerEndsItsConnection: a request whose answer can't be handled is forgotten by
// the node, and its upstream's slot is free again.
func TestPanicOfHandlerEndsItsConnection(t *testing.T) {
	c := qt.New(t)
	server, r := newTestNode(c, answerOK)
	classify := r.cfg.Protocol.ClassifyHead
	var panicked atomic.Bool
	r.cfg.Protocol.ClassifyHead = func(id string, status int, h http.Header) Head {
		if panicked.CompareAndSwap(false, true) {
			panic("unexpected head")
		}
		return classify(id, status, h)
	}
	request := func(path string) (*http.Response, error) { return get(c, context.Background(), server, path) }
	resp, err := request("/o/1")
	if err == nil {
		c.Assert(resp.StatusCode >= http.StatusInternalServerError, qt.IsTrue)
		c.Assert(resp.Body.Close(), qt.IsNil)
	}
	awaitNoRequests(c, r)
	r.mu.Lock()
	running := r.core.State().Services["s"].Running
	r.mu.Unlock()
	c.Assert(running, qt.Equals, 0)
	checkServes(c, request, "/o/2")
}

// TestPanicOfReducerEndsItsConnection: an event that the reducer can't handle ends the
// connection that it is of; others are served, and the node goes on to reduce events.
func TestPanicOfReducerEndsItsConnection(t *testing.T) {
	c := qt.New(t)
	upstream := httptest.NewServer(http.HandlerFunc(answerOK))
	c.Cleanup(upstream.Close)
	address := strings.TrimPrefix(upstream.URL, "http://")
	r := newTestRunner(address)
	server := serveNode(c, r)
	var panicked atomic.Bool
	r.core = core.New(core.Config{Node: "a", FirstStart: true, Bounds: bounds(r.cfg.Settings), Cost: func(candidate placement.Candidate) time.Duration {
		if panicked.CompareAndSwap(false, true) {
			panic("unexpected candidate")
		}
		return placement.LeastTime(candidate)
	}}, rand.New(rand.NewPCG(1, 2)))
	configure(r, address)
	request := func(path string) (*http.Response, error) { return get(c, context.Background(), server, path) }
	_, err := request("/o/1")
	c.Assert(err, qt.IsNotNil)
	awaitNoRequests(c, r)
	checkServes(c, request, "/o/2")
}

// TestFeedGoesOnAfterPanic: an entry of the store that can't be handled does not end the feed
// for the life of the process.
func TestFeedGoesOnAfterPanic(t *testing.T) {
	c := qt.New(t)
	r := newTestRunner()
	defer r.cancel()
	listed := make(chan struct{}, 10)
	calls := atomic.Int32{}
	r.relists["f"] = &relist{}
	feed := Feed{Name: "f", List: func(ctx context.Context) (Changes, error) {
		if calls.Add(1) == 1 {
			panic("unexpected entry")
		}
		listed <- struct{}{}
		<-ctx.Done()
		return Changes{Revision: store.Revision{Number: 1}}, ctx.Err()
	}}
	r.keepRunning("feed", func() { r.follow(feed) })
	select {
	case <-listed:
	case <-time.After(3 * time.Second):
		c.Fatal("the feed is not listed again")
	}
}

// TestGuardBreaksBegunAnswerOff: a refusal or an error that is decided on after the answer has begun
// is not written into it, whatever led to it.
func TestGuardBreaksBegunAnswerOff(t *testing.T) {
	for name, effect := range map[string]core.Effect{
		"refusal": core.Refuse{Reason: core.ReasonBadKey},
		"error":   core.RelayError{},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := newTestRunner()
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				h := &handler{runner: r, w: w, r: req, control: http.NewResponseController(w), answer: &bufferedAnswer{status: 500, body: []byte("error")}}
				h.writeHead(http.StatusOK, http.Header{}, core.FramingChunks)
				_, _ = io.WriteString(w, "begin")
				_ = h.control.Flush()
				h.execute(req.Context(), effect)
			}))
			c.Cleanup(server.Close)
			resp, err := http.Get(server.URL)
			c.Assert(err, qt.IsNil)
			defer func() { _ = resp.Body.Close() }()
			body, err := io.ReadAll(resp.Body)
			c.Assert(err, qt.IsNotNil)
			c.Assert(string(body), qt.Equals, "begin")
		})
	}
}

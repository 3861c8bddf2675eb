package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	core "monsoonlanding/internal/core/gateway"
	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/quarantine"
	"monsoonlanding/internal/wire/relayhttp"
)

// newCutOffNode starts a node that has lost its paths to the upstreams and passes requests on
// to another one, whose upstream is served by the handler.
func newCutOffNode(c *qt.C, upstream http.HandlerFunc) (first *httptest.Server, second *httptest.Server) {
	server := httptest.NewServer(upstream)
	c.Cleanup(server.Close)
	exit := newTestRunner(strings.TrimPrefix(server.URL, "http://"))
	second = httptest.NewUnstartedServer(nil)
	second.Config = exit.peerServer(http.NotFoundHandler())
	second.Start()
	c.Cleanup(second.Close)

	r := newTestRunner("127.0.0.1:1")
	r.submit(core.UpstreamProbed{Upstream: "u0"})
	r.submit(core.PeerReceived{From: "b", Message: peer.Status{
		Node: "b", Start: 1, Zone: "z", PeerAddress: strings.TrimPrefix(second.URL, "http://"),
		Ready: true, ConfigVersion: 1, Reaches: true, TakesRelays: true, Time: time.Now(),
		Reached: []peer.ReachedUpstream{{Process: quarantine.ProcessID("u0", time.Time{})}},
	}})
	return serveNode(c, r), second
}

// TestRelayedAnswersAreTheUpstreams: documents and streams reach the caller through two nodes
// as the upstream gave them, and no header of the nodes goes further than the other node.
func TestRelayedAnswersAreTheUpstreams(t *testing.T) {
	for path, want := range map[string]string{"/q/1": "document", "/s/1": event(1) + event(2), "/d/1": event(1) + event(2)} {
		t.Run(path, func(t *testing.T) {
			c := qt.New(t)
			var got *http.Request
			first, _ := newCutOffNode(c, func(w http.ResponseWriter, r *http.Request) {
				got = r
				if strings.HasPrefix(path, "/q/") {
					_, _ = io.WriteString(w, want)
					return
				}
				w.Header().Set("Content-Type", "text/event-stream")
				for _, e := range []string{event(1), event(2)} {
					_, _ = io.WriteString(w, e)
					w.(http.Flusher).Flush()
				}
			})
			resp, err := get(c, context.Background(), first, path)
			c.Assert(err, qt.IsNil)
			body, err := io.ReadAll(resp.Body)
			c.Assert(err, qt.IsNil)
			c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
			c.Assert(string(body), qt.Equals, want)
			c.Assert(got.URL.Path, qt.Equals, path)
			c.Assert(got.Host, qt.Equals, "h")
			for name := range got.Header {
				c.Check(strings.HasPrefix(name, "Monsoonlanding"), qt.IsFalse, qt.Commentf("%s", name))
			}
			for name := range resp.Header {
				c.Check(strings.HasPrefix(name, "Monsoonlanding"), qt.IsFalse, qt.Commentf("%s", name))
			}
		})
	}
}

// TestRelayedRequestsRunAsOften: what another node reports of a request decides whether it may
// have run. One that may run once is not sent again.
func TestRelayedRequestsRunAsOften(t *testing.T) {
	for _, row := range []struct {
		name     string
		path     string
		upstream http.HandlerFunc
		runs     int32
		status   int
		body     string
	}{
		{"refused by the upstream", "/o/1", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}, 3, http.StatusServiceUnavailable, "not_run"},
		{"broken after it has run", "/o/1", func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		}, 1, http.StatusServiceUnavailable, "failed"},
		{"upstream's own error", "/o/1", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusInternalServerError)
			_, _ = io.WriteString(w, "own error")
		}, 1, http.StatusInternalServerError, "own error"},
		{"safe, broken", "/q/1", func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		}, 3, http.StatusServiceUnavailable, "failed"},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			var runs atomic.Int32
			first, _ := newCutOffNode(c, func(w http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				row.upstream(w, r)
			})
			resp, err := get(c, context.Background(), first, row.path)
			c.Assert(err, qt.IsNil)
			body, err := io.ReadAll(resp.Body)
			c.Assert(err, qt.IsNil)
			c.Assert(resp.StatusCode, qt.Equals, row.status)
			c.Assert(string(body), qt.Equals, row.body)
			c.Assert(runs.Load(), qt.Equals, row.runs)
		})
	}
}

// TestRelayedStreamThatBreaksIsNotComplete: the other node is lost in the middle of a stream.
func TestRelayedStreamThatBreaksIsNotComplete(t *testing.T) {
	c := qt.New(t)
	first, second := newCutOffNode(c, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, event(1))
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	resp, err := get(c, context.Background(), first, "/d/1")
	c.Assert(err, qt.IsNil)
	begin := make([]byte, len(event(1)))
	_, err = io.ReadFull(resp.Body, begin)
	c.Assert(err, qt.IsNil)
	second.CloseClientConnections()
	_, err = io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNotNil)
}

// TestCallerThatLeavesEndsRelayedRequest: the upstream's work ends when the caller of the first
// node leaves.
func TestCallerThatLeavesEndsRelayedRequest(t *testing.T) {
	c := qt.New(t)
	begun, left := make(chan struct{}), make(chan struct{})
	first, _ := newCutOffNode(c, func(w http.ResponseWriter, r *http.Request) {
		close(begun)
		<-r.Context().Done()
		close(left)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-begun
		cancel()
	}()
	_, err := get(c, ctx, first, "/q/1")
	c.Assert(err, qt.IsNotNil)
	select {
	case <-left:
	case <-time.After(5 * time.Second):
		c.Fatal("upstream still at work")
	}
}

// TestRelayWithoutTokenIsRejected: only nodes can pass requests on.
func TestRelayWithoutTokenIsRejected(t *testing.T) {
	c := qt.New(t)
	ran := false
	_, second := newCutOffNode(c, func(http.ResponseWriter, *http.Request) { ran = true })
	req, err := http.NewRequest(http.MethodGet, second.URL+"/q/1", nil)
	c.Assert(err, qt.IsNil)
	relayhttp.Request{Token: "guessed", From: "x", Attempts: 1}.Set(req.Header)
	resp, err := second.Client().Do(req)
	c.Assert(err, qt.IsNil)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusUnauthorized)
	c.Assert(ran, qt.IsFalse)
}

package gateway

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	core "monsoonlanding/internal/core/gateway"
)

// TestLoadIsOfItsHead: the first event of a stream may come long after its head, whose load is no
// longer current then.
func TestLoadIsOfItsHead(t *testing.T) {
	c := qt.New(t)
	headRead := make(chan struct{})
	server, r := newTestNode(c, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.(http.Flusher).Flush()
		<-headRead
		time.Sleep(500 * time.Millisecond)
		_, _ = io.WriteString(w, event(1))
	})
	classify := r.cfg.Protocol.ClassifyHead
	r.cfg.Protocol.ClassifyHead = func(id string, status int, h http.Header) Head {
		head := classify(id, status, h)
		head.Signals.Load = &core.Load{Running: 1, Slots: 8, Slowdown: 2}
		close(headRead)
		return head
	}
	resp, err := get(c, context.Background(), server, "/s/1")
	c.Assert(err, qt.IsNil)
	_, err = io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(resp.Body.Close(), qt.IsNil)
	r.mu.Lock()
	defer r.mu.Unlock()
	c.Assert(counters[core.CountLoad].Get("slowdown").String(), qt.Not(qt.Equals), "0")
	c.Assert(r.core.State().Services["s"].Reporting, qt.Equals, 0)
}

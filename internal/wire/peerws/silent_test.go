package peerws

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/standin/faultproxy"
)

// contactBound is the shortest time within which nodes must know of a peer that they can't
// reach, on all deployments.
const contactBound = 3 * time.Second

// receiver is a node that records the numbers of the statuses that it receives.
type receiver struct {
	server *httptest.Server
	seqs   chan uint64
	opened atomic.Int64
}

func newReceiver(c *qt.C, codec *Codec) *receiver {
	r := &receiver{seqs: make(chan uint64, 1000)}
	receive := func(_ string, m peer.Message) {
		switch m := m.(type) {
		case peer.Ping:
			r.opened.Add(1)
		case peer.Status:
			r.seqs <- m.Seq
		}
	}
	mux := http.NewServeMux()
	mux.Handle(Path, NewHandler("b", "token", codec, receive, zerolog.Nop()))
	r.server = httptest.NewServer(mux)
	c.Cleanup(r.server.CloseClientConnections)
	return r
}

// newSender returns the pool of node a.
func newSender(c *qt.C, codec *Codec, onUnreachable func(id string)) *Pool {
	a := New(Config{
		Self: peer.Member{ID: "a"}, Token: "token", Codec: codec, Log: zerolog.Nop(),
		OnFailure: func(string) {}, OnUnreachable: onUnreachable, OnSend: func(int) {},
	})
	c.Cleanup(a.Close)
	return a
}

// next returns the number of the next status, and whether one has arrived in time.
func (r *receiver) next(within time.Duration) (uint64, bool) {
	select {
	case seq := <-r.seqs:
		return seq, true
	case <-time.After(within):
		return 0, false
	}
}

// TestSilentConnectionIsReplaced guards against a connection to a peer that goes silent without
// a reset while new ones work. Writes succeed until buffers are full, so that without an
// acknowledgement of its own a node believes for minutes that its statuses arrive.
func TestSilentConnectionIsReplaced(t *testing.T) {
	c := qt.New(t)
	codec, err := NewCodec()
	c.Assert(err, qt.IsNil)
	b := newReceiver(c, codec)
	proxy := faultproxy.New(b.server.Listener.Addr().String())
	c.Cleanup(proxy.Close)
	a := newSender(c, codec, func(string) {})

	seq := uint64(0)
	send := func() {
		seq++
		a.Send("b", proxy.Address(), peer.Status{Node: "a", Seq: seq})
	}
	send()
	last, ok := b.next(contactBound)
	c.Assert(ok, qt.IsTrue)
	c.Assert(last, qt.Equals, uint64(1))

	proxy.SilenceOpen()
	silentAt := time.Now()
	arrived := false
	for !arrived && time.Since(silentAt) < contactBound {
		send()
		var got uint64
		if got, arrived = b.next(100 * time.Millisecond); arrived {
			c.Assert(got > last, qt.IsTrue, qt.Commentf("status %d after %d", got, last))
			last = got
		}
	}
	c.Assert(arrived, qt.IsTrue, qt.Commentf("no status has arrived within the contact bound"))
	for range 5 {
		send()
		got, ok := b.next(contactBound)
		c.Assert(ok, qt.IsTrue)
		c.Assert(got > last, qt.IsTrue, qt.Commentf("status %d after %d", got, last))
		last = got
	}
	c.Assert(b.opened.Load(), qt.Equals, int64(2))
}

// TestLostPeerIsReported: a peer that can't be reached at all is reported within the contact
// bound of its last message, one whose connection is reset or goes silent alone is not.
func TestLostPeerIsReported(t *testing.T) {
	tests := []struct {
		name string
		fail func(*faultproxy.Proxy)
		lost bool
	}{
		{"machine without power", func(p *faultproxy.Proxy) { p.SetFault(faultproxy.Silent) }, true},
		{"process that has ended", func(p *faultproxy.Proxy) { p.Close() }, true},
		{"connection reset", func(p *faultproxy.Proxy) { p.ResetOpen() }, false},
		{"connection silent", func(p *faultproxy.Proxy) { p.SilenceOpen() }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			codec, err := NewCodec()
			c.Assert(err, qt.IsNil)
			b := newReceiver(c, codec)
			proxy := faultproxy.New(b.server.Listener.Addr().String())
			c.Cleanup(proxy.Close)
			lost := make(chan string, 10)
			a := newSender(c, codec, func(id string) { lost <- id })
			a.Send("b", proxy.Address(), peer.Status{Node: "a", Seq: 1})
			_, ok := b.next(contactBound)
			c.Assert(ok, qt.IsTrue)
			// The first messages are confirmed.
			time.Sleep(100 * time.Millisecond)
			test.fail(proxy)
			a.Send("b", proxy.Address(), peer.Status{Node: "a", Seq: 2})
			select {
			case id := <-lost:
				c.Assert(test.lost, qt.IsTrue, qt.Commentf("reported although new connections work"))
				c.Assert(id, qt.Equals, "b")
			case <-time.After(contactBound):
				c.Assert(test.lost, qt.IsFalse)
			}
		})
	}
}

package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/run/clock"
)

// testServer accepts and counts connections, and passes each to a function.
type testServer struct {
	address string
	conns   atomic.Int32
}

func newServer(c *qt.C, serve func(nc net.Conn, r *bufio.Reader)) *testServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	s := &testServer{address: l.Addr().String()}
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go func() {
				defer func() { _ = nc.Close() }()
				serve(nc, bufio.NewReader(nc))
			}()
		}
	}()
	return s
}

// answerWith returns a function for newServer that answers each request with the
// text that reply returns for it.
func answerWith(reply func(r *http.Request) string) func(net.Conn, *bufio.Reader) {
	return func(nc net.Conn, br *bufio.Reader) {
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			if _, err := io.WriteString(nc, reply(r)); err != nil {
				return
			}
		}
	}
}

func newPool() *Pool { return New(Config{Clock: clock.System{}}) }

func get(c *qt.C, p *Pool, address string) (string, error) {
	a, err := p.Do(context.Background(), address, &Request{Method: "GET", Target: "/x", Host: "h", Header: http.Header{}})
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	return string(body), err
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func TestConnectionIsReused(t *testing.T) {
	c := qt.New(t)
	server := newServer(c, answerWith(func(*http.Request) string { return okAnswer }))
	p := newPool()
	for range 3 {
		body, err := get(c, p, server.address)
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Equals, "ok")
	}
	c.Assert(server.conns.Load(), qt.Equals, int32(1))
}

// TestExtraBytesCloseConnection checks that a connection is not reused when
// bytes follow a complete answer at once. They belong to no request and would be
// read as the answer to the next one.
func TestExtraBytesCloseConnection(t *testing.T) {
	c := qt.New(t)
	server := newServer(c, answerWith(func(*http.Request) string { return okAnswer + okAnswer }))
	p := newPool()
	for range 3 {
		body, err := get(c, p, server.address)
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Equals, "ok")
	}
	c.Assert(server.conns.Load(), qt.Equals, int32(3))
}

// TestLateExtraBytesCloseConnection checks that a connection is not reused when
// bytes arrive while it is idle in the pool.
func TestLateExtraBytesCloseConnection(t *testing.T) {
	c := qt.New(t)
	sent := make(chan struct{}, 3)
	server := newServer(c, func(nc net.Conn, br *bufio.Reader) {
		answerWith(func(*http.Request) string {
			time.AfterFunc(20*time.Millisecond, func() {
				_, _ = io.WriteString(nc, okAnswer)
				sent <- struct{}{}
			})
			return okAnswer
		})(nc, br)
	})
	p := newPool()
	for range 2 {
		_, err := get(c, p, server.address)
		c.Assert(err, qt.IsNil)
		<-sent
		time.Sleep(10 * time.Millisecond)
	}
	c.Assert(server.conns.Load(), qt.Equals, int32(2))
}

func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	c := qt.New(t)
	closed := make(chan struct{}, 2)
	server := newServer(c, func(nc net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		_, _ = io.WriteString(nc, okAnswer)
		_ = nc.Close()
		closed <- struct{}{}
	})
	p := newPool()
	for range 2 {
		_, err := get(c, p, server.address)
		c.Assert(err, qt.IsNil)
		<-closed
		time.Sleep(10 * time.Millisecond)
	}
	c.Assert(server.conns.Load(), qt.Equals, int32(2))
}

func TestFailedConnectIsNotWritten(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := l.Addr().String()
	_ = l.Close()
	_, err = get(c, newPool(), address)
	c.Assert(Written(err), qt.IsFalse)
	c.Assert(ConnectFailed(err), qt.IsTrue)
}

// TestDialedExchangesAreTold: only an exchange on a new connection shows that new ones can be
// opened, and a broken one does not show that they can't.
func TestDialedExchangesAreTold(t *testing.T) {
	c := qt.New(t)
	server := newServer(c, answerWith(func(*http.Request) string { return okAnswer }))
	p := newPool()
	for _, dialed := range []bool{true, false, false} {
		a, err := p.Do(context.Background(), server.address, &Request{Method: "GET", Target: "/x", Host: "h", Header: http.Header{}})
		c.Assert(err, qt.IsNil)
		c.Assert(a.Dialed(), qt.Equals, dialed)
		_, err = io.ReadAll(a)
		c.Assert(err, qt.IsNil)
		a.Close()
	}
	broken := newServer(c, func(net.Conn, *bufio.Reader) {})
	_, err := get(c, p, broken.address)
	c.Assert(err, qt.IsNotNil)
	c.Assert(ConnectFailed(err), qt.IsFalse)
}

func TestBrokenExchangeIsWritten(t *testing.T) {
	for name, answer := range map[string]string{
		"no answer":       "",
		"truncated head":  "HTTP/1.1 200 OK\r\nConte",
		"truncated body":  "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
		"invalid head":    "what is this\r\n\r\n",
		"truncated chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server := newServer(c, func(nc net.Conn, br *bufio.Reader) {
				if _, err := http.ReadRequest(br); err != nil {
					return
				}
				_, _ = io.WriteString(nc, answer)
			})
			_, err := get(c, newPool(), server.address)
			c.Assert(err, qt.IsNotNil)
			c.Assert(Written(err), qt.IsTrue)
		})
	}
}

// TestUnframedAnswerEndsWithConnection checks that, without a length or chunks,
// a closed connection ends the answer and a reset connection breaks it.
func TestUnframedAnswerEndsWithConnection(t *testing.T) {
	c := qt.New(t)
	var reset atomic.Bool
	server := newServer(c, func(nc net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\n\r\nall of it")
		if reset.Load() {
			time.Sleep(20 * time.Millisecond)
			_ = nc.(*net.TCPConn).SetLinger(0)
		}
	})
	body, err := get(c, newPool(), server.address)
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, "all of it")
	reset.Store(true)
	_, err = get(c, newPool(), server.address)
	c.Assert(err, qt.IsNotNil)
}

// TestEarlyAnswerClosesConnection checks that a connection is not reused when
// the upstream answers before it has read the whole body. It would read the rest
// of the body as the next request.
func TestEarlyAnswerClosesConnection(t *testing.T) {
	c := qt.New(t)
	server := newServer(c, func(nc net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		_, _ = io.WriteString(nc, "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(50 * time.Millisecond)
	})
	p := newPool()
	a, err := p.Do(context.Background(), server.address, &Request{
		Method: "POST", Target: "/", Host: "h", Header: http.Header{}, Body: []byte(strings.Repeat("x", 8<<20)),
	})
	c.Assert(err, qt.IsNil)
	c.Assert(a.Status(), qt.Equals, http.StatusRequestEntityTooLarge)
	_, err = io.Copy(io.Discard, a)
	c.Assert(err, qt.IsNil)
	a.Close()
	c.Assert(p.popIdle(server.address, &Request{ID: "next"}), qt.IsNil)
}

func TestCancelledExchangeClosesConnection(t *testing.T) {
	c := qt.New(t)
	ended := make(chan struct{})
	server := newServer(c, func(nc net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		_, _ = br.ReadByte()
		close(ended)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := newPool().Do(ctx, server.address, &Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}})
	c.Assert(err, qt.IsNotNil)
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		c.Fatal("the connection was still open 5 s after the cancellation")
	}
}

func TestIdleTimeout(t *testing.T) {
	c := qt.New(t)
	c.Assert(idleTimeout(http.Header{"Keep-Alive": []string{"timeout=5, max=10"}}), qt.Equals, 2500*time.Millisecond)
	c.Assert(idleTimeout(http.Header{}), qt.Equals, defaultIdleTimeout)
}

// TestIdleConnectionsAreBounded: connections beyond the bound are closed after their
// answers.
func TestIdleConnectionsAreBounded(t *testing.T) {
	c := qt.New(t)
	server := newServer(c, answerWith(func(*http.Request) string { return okAnswer }))
	p := newPool()
	var answers []*Answer
	for range 4 {
		a, err := p.Do(context.Background(), server.address, &Request{Method: "GET", Target: "/x", Host: "h", Header: http.Header{}, MaxIdle: 2})
		c.Assert(err, qt.IsNil)
		_, err = io.ReadAll(a)
		c.Assert(err, qt.IsNil)
		answers = append(answers, a)
	}
	for _, a := range answers {
		a.Close()
	}
	c.Assert(p.idle[server.address], qt.HasLen, 2)
}

// TestWithheldRequestIsNotWritten: a request that is not admitted when its connection is open
// leaves the connection to the next one, also if it was just opened.
func TestWithheldRequestIsNotWritten(t *testing.T) {
	c := qt.New(t)
	var served atomic.Int32
	server := newServer(c, answerWith(func(*http.Request) string {
		served.Add(1)
		return okAnswer
	}))
	p := newPool()
	send := func(admitted bool) error {
		a, err := p.Do(context.Background(), server.address, &Request{
			Method: "GET", Target: "/x", Host: "h", Header: http.Header{}, Admit: func() bool { return admitted },
		})
		if err != nil {
			return err
		}
		defer a.Close()
		_, err = io.ReadAll(a)
		return err
	}
	for _, admitted := range []bool{false, false, true, false, true} {
		err := send(admitted)
		if admitted {
			c.Assert(err, qt.IsNil)
			continue
		}
		c.Assert(err, qt.ErrorIs, ErrWithheld)
		c.Assert(Written(err), qt.IsFalse)
		c.Assert(ConnectFailed(err), qt.IsFalse)
	}
	c.Assert(served.Load(), qt.Equals, int32(2))
	c.Assert(server.conns.Load(), qt.Equals, int32(1))
}

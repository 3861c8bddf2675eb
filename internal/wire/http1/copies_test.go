package http1

import (
	"bufio"
	"context"
	"fmt"
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

// headerName is the header by which answers of the tests name their request.
const headerName = "Name"

func newNamingPool() *Pool {
	return New(Config{Clock: clock.System{}, AnswerID: func(h http.Header) string { return h.Get(headerName) }})
}

// named returns an answer that names a request.
func named(id, status, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", status, headerName, id, len(body), body)
}

// repeating returns a function for newServer: before each answer on a connection but the first,
// it sends what copies returns for the answers that were sent there before.
func repeating(answer func(r *http.Request) string, copies func(earlier []string) string) func(net.Conn, *bufio.Reader) {
	return func(nc net.Conn, br *bufio.Reader) {
		var earlier []string
		answerWith(func(r *http.Request) string {
			own, before := answer(r), ""
			if len(earlier) > 0 {
				before = copies(earlier)
			}
			earlier = append(earlier, own)
			return before + own
		})(nc, br)
	}
}

func lastCopy(earlier []string) string { return earlier[len(earlier)-1] }

// exchangeID sends a request with an ID, whose path is the ID, and returns its answer and what it
// was told of it.
func exchangeID(c *qt.C, p *Pool, address, id string) (status int, body string, a *Answer) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	a, err := p.Do(ctx, address, &Request{ID: id, Method: "GET", Target: "/" + id, Host: "h", Header: http.Header{}})
	c.Assert(err, qt.IsNil)
	defer a.Close()
	data, err := io.ReadAll(a)
	c.Assert(err, qt.IsNil)
	return a.Status(), string(data), a
}

func ownAnswer(r *http.Request) string {
	id := strings.TrimPrefix(r.URL.Path, "/")
	return named(id, "200 OK", "answer to "+id)
}

// TestCopyOfEarlierAnswerIsSkipped guards against a late second copy of an answer, or of a refusal,
// that stands where the answer to the next request is expected: the request's own answer follows.
func TestCopyOfEarlierAnswerIsSkipped(t *testing.T) {
	c := qt.New(t)
	refused := func(r *http.Request) string {
		if r.URL.Path == "/a" {
			return named("a", "503 Service Unavailable", "full")
		}
		return ownAnswer(r)
	}
	all := func(earlier []string) string { return strings.Join(earlier, "") }
	server := newServer(c, repeating(refused, all))
	p := newNamingPool()
	for n, id := range []string{"a", "b", "c", "d"} {
		status, body, a := exchangeID(c, p, server.address, id)
		c.Assert(a.Own(), qt.IsTrue)
		c.Assert(a.Extra(), qt.Equals, n)
		c.Assert(a.Connection().Exchanges, qt.Equals, n)
		if id != "a" {
			c.Assert(status, qt.Equals, http.StatusOK)
			c.Assert(body, qt.Equals, "answer to "+id)
		}
	}
	c.Assert(server.conns.Load(), qt.Equals, int32(1))
}

// TestRequestThatComesAgainHasAnotherConnection guards against a copy of a request's own earlier
// refusal, whose ID is right, where the answer to its second try is expected.
func TestRequestThatComesAgainHasAnotherConnection(t *testing.T) {
	c := qt.New(t)
	var tries atomic.Int32
	server := newServer(c, repeating(func(r *http.Request) string {
		if tries.Add(1) == 1 {
			return named("a", "503 Service Unavailable", "full")
		}
		return ownAnswer(r)
	}, lastCopy))
	p := newNamingPool()
	status, _, _ := exchangeID(c, p, server.address, "a")
	c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	status, body, a := exchangeID(c, p, server.address, "a")
	c.Assert(status, qt.Equals, http.StatusOK)
	c.Assert(body, qt.Equals, "answer to a")
	c.Assert(a.Dialed(), qt.IsTrue)
	// Both connections serve other requests.
	for _, id := range []string{"b", "c"} {
		_, _, a := exchangeID(c, p, server.address, id)
		c.Assert(a.Dialed(), qt.IsFalse)
	}
}

// TestRequestWithoutIDHasItsOwnConnection guards against an answer that names no request: neither
// may it be a copy of an earlier one, nor may a copy of it reach another request.
func TestRequestWithoutIDHasItsOwnConnection(t *testing.T) {
	c := qt.New(t)
	server := newServer(c, repeating(func(r *http.Request) string {
		if r.URL.Path == "/" {
			return okAnswer
		}
		return ownAnswer(r)
	}, lastCopy))
	p := newNamingPool()
	exchangeID(c, p, server.address, "a")
	for range 2 {
		_, body, a := exchangeID(c, p, server.address, "")
		c.Assert(body, qt.Equals, "ok")
		c.Assert(a.Dialed(), qt.IsTrue)
		c.Assert(a.Own(), qt.IsTrue)
	}
	_, body, a := exchangeID(c, p, server.address, "b")
	c.Assert(body, qt.Equals, "answer to b")
	c.Assert(a.Connection().Exchanges, qt.Equals, 1)
	c.Assert(server.conns.Load(), qt.Equals, int32(3))
}

// TestAnswerOfNobodyIsNotOwn: an answer that names a request which the connection has not carried,
// or none on a connection that has carried others, is not that of the exchange.
func TestAnswerOfNobodyIsNotOwn(t *testing.T) {
	for name, strange := range map[string]string{
		"other request": named("z", "503 Service Unavailable", ""),
		"no request":    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server := newServer(c, answerWith(func(r *http.Request) string {
				if r.URL.Path == "/b" {
					return strange
				}
				return ownAnswer(r)
			}))
			p := newNamingPool()
			exchangeID(c, p, server.address, "a")
			a, err := p.Do(context.Background(), server.address, &Request{ID: "b", Method: "GET", Target: "/b", Host: "h", Header: http.Header{}})
			c.Assert(err, qt.IsNil)
			c.Assert(a.Own(), qt.IsFalse)
			a.Close()
			c.Assert(p.idle[server.address], qt.HasLen, 0)
		})
	}
}

// TestCopiesWithoutEnd: copies of earlier answers are bounded in number and size, and what they end
// in is malformed and may have run.
func TestCopiesWithoutEnd(t *testing.T) {
	for name, copies := range map[string]func(earlier []string) string{
		"number": func(earlier []string) string { return strings.Repeat(earlier[0], maxExtraAnswers+1) },
		"size":   func([]string) string { return named("a", "200 OK", strings.Repeat("x", maxExtraBytes+1)) },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server := newServer(c, repeating(ownAnswer, copies))
			p := newNamingPool()
			exchangeID(c, p, server.address, "a")
			_, err := p.Do(context.Background(), server.address, &Request{ID: "b", Method: "GET", Target: "/b", Host: "h", Header: http.Header{}})
			c.Assert(err, qt.IsNotNil)
			c.Assert(Malformed(err), qt.IsTrue)
			c.Assert(Written(err), qt.IsTrue)
		})
	}
}

// TestConnectionKnowsAllItHasCarried: a connection is closed before it would forget a request.
func TestConnectionKnowsAllItHasCarried(t *testing.T) {
	c := qt.New(t)
	server := newServer(c, answerWith(ownAnswer))
	p := newNamingPool()
	for n := range maxExchanges + 1 {
		exchangeID(c, p, server.address, fmt.Sprint(n))
	}
	c.Assert(server.conns.Load(), qt.Equals, int32(2))
}

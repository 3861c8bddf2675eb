package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/memory"
)

// bodyNode serves callers by a node with little memory, before an upstream that returns the length
// of what it gets.
func bodyNode(c *qt.C, memoryBytes int64) (*httptest.Server, *Runner, *atomic.Int64) {
	var runs atomic.Int64
	server, r := newTestNode(c, func(w http.ResponseWriter, req *http.Request) {
		runs.Add(1)
		body, _ := io.ReadAll(req.Body)
		fmt.Fprint(w, len(body))
	})
	r.intake.budget = memory.New(memoryBytes)
	return server, r, &runs
}

// post sends a body, with its length or in chunks, and returns status and answer.
func post(c *qt.C, server *httptest.Server, body []byte, inChunks bool) (*http.Response, string) {
	var reader io.Reader = bytes.NewReader(body)
	if inChunks {
		reader = io.MultiReader(reader)
	}
	req, err := http.NewRequest(http.MethodPost, server.URL+"/q/1", reader)
	c.Assert(err, qt.IsNil)
	req.Host = "h"
	resp, err := server.Client().Do(req)
	c.Assert(err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	return resp, string(answer)
}

// TestBodiesWithinTheLimits: a single request within the limits is served, to the last byte.
func TestBodiesWithinTheLimits(t *testing.T) {
	c := qt.New(t)
	server, r, runs := bodyNode(c, 16<<20)
	for _, size := range []int{0, 1, 4095, 4096, 4097, 100_000, defaultBodyBytes - 1, defaultBodyBytes} {
		for _, inChunks := range []bool{false, true} {
			resp, answer := post(c, server, make([]byte, size), inChunks)
			c.Assert(resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%d %t", size, inChunks))
			c.Assert(answer, qt.Equals, fmt.Sprint(size))
		}
	}
	before := runs.Load()
	for _, inChunks := range []bool{false, true} {
		resp, _ := post(c, server, make([]byte, defaultBodyBytes+1), inChunks)
		c.Assert(resp.StatusCode, qt.Equals, http.StatusRequestEntityTooLarge, qt.Commentf("%t", inChunks))
	}
	c.Assert(runs.Load(), qt.Equals, before)
	c.Assert(awaitNothingTaken(r), qt.IsTrue)
}

func awaitNothingTaken(r *Runner) bool {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		taken := r.intake.budget.Taken()
		if taken[memory.Body]+taken[memory.Answer] == 0 {
			return true
		}
	}
	return false
}

// TestBodyWithoutMemoryIsRefusedAtOnce: large bodies that don't fit are refused as not run, small ones
// pass, and what a client that leaves has taken is given back.
func TestBodyWithoutMemoryIsRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	server, r, runs := bodyNode(c, 1<<20)
	held, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
	c.Assert(err, qt.IsNil)
	defer func() { _ = held.Close() }()
	fmt.Fprintf(held, "POST /q/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 600000\r\n\r\n%s", strings.Repeat("x", 599_999))
	for end := time.Now().Add(10 * time.Second); r.intake.budget.Taken()[memory.Body] == 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	for _, inChunks := range []bool{false, true} {
		resp, _ := post(c, server, make([]byte, 500_000), inChunks)
		c.Assert(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(resp.Close, qt.IsTrue)
	}
	c.Assert(runs.Load(), qt.Equals, int64(0))
	resp, answer := post(c, server, make([]byte, 1000), false)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
	c.Assert(answer, qt.Equals, "1000")
	c.Assert(held.Close(), qt.IsNil)
	c.Assert(awaitNothingTaken(r), qt.IsTrue)
	resp, _ = post(c, server, make([]byte, 500_000), false)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
}

// TestLargeBodyOfUnknownCallerIsNotRead: a request that its head alone rules out is answered before
// its body has taken memory.
func TestLargeBodyOfUnknownCallerIsNotRead(t *testing.T) {
	c := qt.New(t)
	server, r, _ := bodyNode(c, 16<<20)
	conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	fmt.Fprint(conn, "POST /unknown/1 HTTP/1.1\r\nHost: elsewhere\r\nContent-Length: 1000000\r\n\r\n")
	c.Assert(conn.SetReadDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	answer, err := io.ReadAll(conn)
	c.Assert(err, qt.IsNil)
	c.Assert(string(answer), qt.Contains, "Connection: close")
	c.Assert(r.intake.budget.Taken()[memory.Body], qt.Equals, int64(0))
}

// TestSlowBodyIsRefused: a body that stops arriving held its memory for as long as the client stayed.
func TestSlowBodyIsRefused(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	server, r, runs := bodyNode(c, 16<<20)
	conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	fmt.Fprint(conn, "POST /q/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n123456789")
	c.Assert(conn.SetReadDeadline(time.Now().Add(30*time.Second)), qt.IsNil)
	answer, err := io.ReadAll(conn)
	c.Assert(err, qt.IsNil)
	c.Assert(string(answer), qt.Contains, "408 Request Timeout")
	c.Assert(runs.Load(), qt.Equals, int64(0))
	c.Assert(awaitNothingTaken(r), qt.IsTrue)
}

// TestBodyThatNobodyReads: a listener whose handler reads no body answers at once, and its connection
// is not held by a client that never sends it.
func TestBodyThatNobodyReads(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewUnstartedServer(nil)
	server.Config = plainServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ready") }))
	server.Start()
	c.Cleanup(server.Close)
	for _, body := range []string{"Content-Length: 10\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n"} {
		conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
		c.Assert(err, qt.IsNil)
		defer func() { _ = conn.Close() }()
		c.Assert(conn.SetReadDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
		fmt.Fprint(conn, "POST /readyz HTTP/1.1\r\nHost: h\r\n"+body)
		answer, err := io.ReadAll(conn)
		c.Assert(err, qt.IsNil)
		c.Assert(string(answer), qt.Contains, "ready")
	}
}

// TestCallerOfTooLargeBodyIsNotReset guards against a reset before the caller has read that its body is too large: the
// connection was closed at once, and the rest of the body, on its way, ended the caller's write with an error.
func TestCallerOfTooLargeBodyIsNotReset(t *testing.T) {
	for name, begin := range map[string]string{
		"chunks": "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n", defaultBodyBytes+1) + strings.Repeat("x", defaultBodyBytes+1),
		"length": fmt.Sprintf("Content-Length: %d\r\n\r\n", defaultBodyBytes+1),
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server, _, _ := bodyNode(c, 16<<20)
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			c.Assert(err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, "POST /q/1 HTTP/1.1\r\nHost: h\r\n"+begin)
			c.Assert(err, qt.IsNil)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			c.Assert(err, qt.IsNil)
			c.Assert(resp.StatusCode, qt.Equals, http.StatusRequestEntityTooLarge)
			for range 5 {
				_, err = io.WriteString(conn, "\r\n")
				c.Assert(err, qt.IsNil)
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
}

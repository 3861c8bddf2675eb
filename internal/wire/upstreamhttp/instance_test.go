package upstreamhttp

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/caller"
	"monsoonlanding/internal/core/node"
	"monsoonlanding/internal/core/upstream"
)

// repeatingUpstream answers each request with its number, and sends a second copy of the first
// answer when the next request arrives on the same connection, before that one's own answer.
type repeatingUpstream struct {
	address string
	// echo is set if answers return the request's instance.
	echo bool
	// refusals is the number of requests, from the first one on, that are refused as busy.
	refusals int64
	// connections counts the accepted connections.
	connections atomic.Int64
	requests    atomic.Int64
}

func startRepeatingUpstream(c *qt.C, echo bool) *repeatingUpstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	u := &repeatingUpstream{address: l.Addr().String(), echo: echo}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			u.connections.Add(1)
			go u.serve(conn)
		}
	}()
	return u
}

func (u *repeatingUpstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	earlier := ""
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = bufio.NewReader(req.Body).ReadString(0)
		number := u.requests.Add(1)
		status, body := "200 OK", fmt.Sprint(number)
		if number <= u.refusals {
			status, body = "503 Service Unavailable", `{"reason":"busy"}`
		}
		head := ""
		if u.echo {
			head = HeaderInstance + ": " + req.Header.Get(HeaderInstance) + "\r\n"
		}
		answer := fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, head, len(body), body)
		if _, err := conn.Write([]byte(earlier + answer)); err != nil || req.Close {
			return
		}
		earlier = answer
	}
}

// TestLateCopyReachesNoOtherRequest guards against a second copy of an answer that arrives late,
// on a connection that is in use again: the next caller got an answer that was not its own.
func TestLateCopyReachesNoOtherRequest(t *testing.T) {
	for _, echo := range []bool{true, false} {
		t.Run(fmt.Sprint("echo ", echo), func(t *testing.T) {
			c := qt.New(t)
			u := startRepeatingUpstream(c, echo)
			client := New(&http.Client{Transport: &http.Transport{}})
			answered := 0
			for i := range 6 {
				var last node.Event
				client.Run(context.Background(), node.Dispatch{
					Attempt:         1,
					Upstream:        upstream.Upstream{Address: u.address, Kind: upstream.Plain},
					Request:         caller.Request{Instance: fmt.Sprint("instance-", i), Body: []byte("{}")},
					ProgressTimeout: time.Second,
				}, func(e node.Event) { last = e })
				if done, ok := last.(node.UpstreamDone); ok {
					answered++
					c.Assert(string(done.Result), qt.Equals, fmt.Sprint(u.requests.Load()), qt.Commentf("request %d", i))
				}
			}
			c.Assert(answered >= 3, qt.IsTrue, qt.Commentf("%d of 6 requests answered", answered))
		})
	}
}

// dispatchOf returns a dispatch of a submission to a plain upstream.
func dispatchOf(address, instance string) node.Dispatch {
	return node.Dispatch{
		Attempt:         1,
		Upstream:        upstream.Upstream{ID: "u", Address: address, Kind: upstream.Plain},
		Request:         caller.Request{Instance: instance, Body: []byte("{}")},
		ProgressTimeout: time.Second,
	}
}

func lastEvent(client *Client, d node.Dispatch) node.Event {
	var last node.Event
	client.Run(context.Background(), d, func(e node.Event) { last = e })
	return last
}

// TestLateCopyOfOwnRefusalRefusesNothing guards against a late copy of the refusal of a request where
// the answer to its next try is expected: it names the right submission, but this try runs.
func TestLateCopyOfOwnRefusalRefusesNothing(t *testing.T) {
	c := qt.New(t)
	u := startRepeatingUpstream(c, true)
	u.refusals = 1
	client := New(&http.Client{Transport: &http.Transport{}})
	// It is known that the upstream names its answers, so that connections are kept.
	client.echoing.Store(u.address, true)
	first := lastEvent(client, dispatchOf(u.address, "a")).(node.UpstreamFailed)
	c.Assert(first.Cause, qt.Equals, node.CauseBusy)
	second := lastEvent(client, dispatchOf(u.address, "a")).(node.UpstreamFailed)
	c.Assert(u.connections.Load(), qt.Equals, int64(1))
	c.Assert(second.Cause, qt.Equals, node.CauseCrashed)
}

// TestLateCopyIsNoLoadReport guards against a late copy of an answer that is taken as a load report.
func TestLateCopyIsNoLoadReport(t *testing.T) {
	c := qt.New(t)
	u := startRepeatingUpstream(c, true)
	u.refusals = 1
	client := New(&http.Client{Transport: &http.Transport{}})
	client.echoing.Store(u.address, true)
	lastEvent(client, dispatchOf(u.address, "a"))
	_, err := client.Load(context.Background(), upstream.Upstream{ID: "u", Address: u.address}, time.Now())
	c.Assert(u.connections.Load(), qt.Equals, int64(1))
	c.Assert(err, qt.ErrorMatches, `get load of u: got an answer to .*`)
}

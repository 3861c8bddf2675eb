package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	core "monsoonlanding/internal/core/gateway"
	"monsoonlanding/internal/wire/http1"
)

const (
	// headerName is the header by which answers of the tests name their request.
	headerName = "Name"
	// headerNotRun marks a refusal of a request that has not run.
	headerNotRun = "Not-Run"
)

// namingProtocol returns testProtocol with answers that name their requests. Only a refusal that
// names the request proves that it has not run.
func namingProtocol() Protocol {
	p := testProtocol()
	p.AnswerID = func(h http.Header) string { return h.Get(headerName) }
	p.ClassifyHead = func(_ string, status int, h http.Header) Head {
		switch {
		case h.Get(headerNotRun) != "":
			return Head{Result: core.ResultFull}
		case status >= http.StatusInternalServerError:
			return Head{Result: core.ResultErrored}
		default:
			return Head{Result: core.ResultComplete}
		}
	}
	p.WriteRefusal = func(w http.ResponseWriter, id string, reason core.Reason, _ time.Duration) {
		w.Header().Set(headerName, id)
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, string(reason))
	}
	return p
}

// newNamingNode returns a node with namingProtocol and upstreams at the addresses.
func newNamingNode(addresses ...string) *Runner {
	r := newTestRunner(addresses...)
	r.cfg.Protocol = namingProtocol()
	r.pool = http1.New(http1.Config{Clock: r.cfg.Clock, AnswerID: r.cfg.Protocol.AnswerID})
	return r
}

// duplicator is an upstream that sends each answer a second time, late: where the answer to the next
// request on the connection is expected.
type duplicator struct {
	address string
	// reply returns the bytes of the answer to a request, and whether the request runs.
	reply  func(path string, tries int) (text string, runs bool)
	mu     sync.Mutex
	tries  map[string]int
	runs   map[string]int
	copies int
}

func startDuplicator(c *qt.C, reply func(path string, tries int) (text string, runs bool)) *duplicator {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	s := &duplicator{address: l.Addr().String(), reply: reply, tries: map[string]int{}, runs: map[string]int{}}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *duplicator) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader, earlier := bufio.NewReader(conn), ""
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		own := s.next(req.URL.Path, earlier != "")
		if _, err := io.WriteString(conn, earlier+own); err != nil {
			return
		}
		earlier = own
	}
}

func (s *duplicator) next(path string, copied bool) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tries[path]++
	text, runs := s.reply(path, s.tries[path])
	if runs {
		s.runs[path]++
	}
	if copied {
		s.copies++
	}
	return text
}

func (s *duplicator) ran(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[path]
}

func nameOf(path string) string { return headerName + ": " + path + "\r\n" }

func refusal(path string) string {
	return "HTTP/1.1 503 Service Unavailable\r\n" + nameOf(path) + headerNotRun + ": 1\r\nContent-Length: 4\r\n\r\nfull"
}

func goodAnswer(path, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", nameOf(path), len(body), body)
}

// answer is what a caller got.
type answer struct {
	status int
	body   string
}

// callerOf returns a function that sends a request to a node and reads the answer.
func callerOf(c *qt.C, r *Runner) func(path string) answer {
	server := serveNode(c, r)
	return func(path string) answer {
		resp, err := get(c, context.Background(), server, path)
		c.Assert(err, qt.IsNil)
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		c.Assert(err, qt.IsNil)
		return answer{resp.StatusCode, string(body)}
	}
}

// TestCopyOfRefusalRefusesNoOtherRequest guards against a late second copy of the refusal of one
// request that stands where the answer to the next one is expected: that one runs, and was
// refused as not run, or sent to a second upstream.
func TestCopyOfRefusalRefusesNoOtherRequest(t *testing.T) {
	c := qt.New(t)
	s := startDuplicator(c, func(path string, _ int) (string, bool) {
		if strings.HasSuffix(path, "/full") {
			return refusal(path), false
		}
		return goodAnswer(path, "ran "+path), true
	})
	send := callerOf(c, newNamingNode(s.address))
	c.Assert(send("/o/full").status, qt.Equals, http.StatusServiceUnavailable)
	for _, path := range []string{"/o/1", "/o/2", "/o/3"} {
		c.Assert(send(path), qt.Equals, answer{http.StatusOK, "ran " + path})
		c.Assert(s.ran(path), qt.Equals, 1)
	}
	c.Assert(s.copies > 0, qt.IsTrue)
}

// TestCopyOfOwnRefusalIsNoSecondRefusal guards against a late second copy of a request's own refusal
// where the answer to its next try is expected: it bears the right ID, but the request runs.
func TestCopyOfOwnRefusalIsNoSecondRefusal(t *testing.T) {
	c := qt.New(t)
	s := startDuplicator(c, func(path string, tries int) (string, bool) {
		if tries == 1 {
			return refusal(path), false
		}
		return goodAnswer(path, "ran"), true
	})
	c.Assert(callerOf(c, newNamingNode(s.address))("/o/1"), qt.Equals, answer{http.StatusOK, "ran"})
	c.Assert(s.ran("/o/1"), qt.Equals, 1)
}

// TestCopyOfRefusalEndsNoResumedStream guards against a late copy of a refusal where the rest of a
// resumed stream is expected.
func TestCopyOfRefusalEndsNoResumedStream(t *testing.T) {
	c := qt.New(t)
	s := startDuplicator(c, func(path string, tries int) (string, bool) {
		head := "HTTP/1.1 200 OK\r\n" + nameOf(path) + streamHead
		switch {
		case strings.HasSuffix(path, "/full"):
			return refusal(path), false
		case tries == 1:
			// The stream ends inside its fourth event.
			return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(insideEvent), insideEvent), true
		default:
			return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(event(4)), event(4)), true
		}
	})
	send := callerOf(c, newNamingNode(s.address))
	send("/o/full")
	for _, path := range []string{"/s/1", "/s/2"} {
		c.Assert(send(path), qt.Equals, answer{http.StatusOK, threeEvents + event(4)})
	}
}

// TestRefusalThatNamesNobodyProvesNothing: on a connection that has carried other requests, it may be
// a copy of an earlier refusal, so that an unsafe request is neither sent again nor called not run.
func TestRefusalThatNamesNobodyProvesNothing(t *testing.T) {
	c := qt.New(t)
	s := startDuplicator(c, func(path string, _ int) (string, bool) {
		if strings.HasSuffix(path, "/2") {
			return "HTTP/1.1 503 Service Unavailable\r\n" + headerNotRun + ": 1\r\nContent-Length: 0\r\n\r\n", true
		}
		return goodAnswer(path, "ran"), true
	})
	send := callerOf(c, newNamingNode(s.address))
	send("/o/1")
	c.Assert(send("/o/2").body, qt.Equals, string(core.ReasonFailed))
	c.Assert(s.ran("/o/2"), qt.Equals, 1)
}

// TestAnswerThatNamesAnotherRequestIsNone: an answer that names a request which the connection has
// not carried is not passed on.
func TestAnswerThatNamesAnotherRequestIsNone(t *testing.T) {
	c := qt.New(t)
	s := startDuplicator(c, func(string, int) (string, bool) { return goodAnswer("/o/other", "other's"), true })
	send := callerOf(c, newNamingNode(s.address))
	c.Assert(send("/o/1"), qt.Equals, answer{http.StatusServiceUnavailable, string(core.ReasonFailed)})
}

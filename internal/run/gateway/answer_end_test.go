package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// rawAnswer is an upstream's answer, byte for byte, and how its connection ends.
type rawAnswer struct {
	head string
	body string
	// reset ends the connection with a reset instead of an orderly close.
	reset bool
}

// Heads of answers. The number of a length follows lengthHead.
const (
	streamHead = "Content-Type: text/event-stream\r\n"
	plainHead  = "Content-Type: application/json\r\n"
	chunksHead = "Transfer-Encoding: chunked\r\n"
	closeHead  = "Connection: close\r\n"
)

func lengthHead(n int) string { return "Content-Length: " + strconv.Itoa(n) + "\r\n" }

// chunk encodes a chunk; the empty one ends a body.
func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// resetDelay lets an answer arrive before a reset discards what is unread.
const resetDelay = 50 * time.Millisecond

// serve answers one request on a connection and ends the connection.
func (a rawAnswer) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	head := a.head
	if !strings.HasPrefix(head, "HTTP/") {
		head = "HTTP/1.1 200 OK\r\n" + head
	}
	_, _ = io.WriteString(conn, head+"\r\n"+a.body)
	if a.reset {
		time.Sleep(resetDelay)
		_ = conn.SetLinger(0)
	}
}

// startRawUpstream serves one answer per connection, the last one repeatedly,
// and returns the address.
func startRawUpstream(c *qt.C, answers ...rawAnswer) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	go func() {
		for i := 0; ; i++ {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go answers[min(i, len(answers)-1)].serve(conn.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

// received is an answer as the caller sees it.
type received struct {
	status  int
	framing string
	body    string
	// whole is set if the answer ended as its framing demands.
	whole bool
}

// request sends a request to a node with one upstream and reads the answer.
func request(c *qt.C, path string, answers ...rawAnswer) received {
	server := serveNode(c, newTestRunner(startRawUpstream(c, answers...)))
	resp, err := get(c, context.Background(), server, path)
	c.Assert(err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	got := received{status: resp.StatusCode, body: string(body), whole: err == nil}
	switch {
	case len(resp.TransferEncoding) > 0:
		got.framing = "chunks"
	case resp.ContentLength >= 0:
		got.framing = "length"
	default:
		got.framing = "close"
	}
	return got
}

// Paths of the test runner's routes: streams that run once, streams that can
// resume, requests that can be repeated and requests that run once.
const (
	oncePath   = "/d/1"
	resumePath = "/s/1"
	safePath   = "/q/1"
	unsafePath = "/t/1"
)

var (
	threeEvents = event(1) + event(2) + event(3)
	// insideEvent ends in the middle of the fourth event.
	insideEvent = threeEvents + event(4)[:9]
	document    = `{"seat":12}`
)

// failed is the answer of testProtocol to a request that an upstream has failed.
var failed = received{http.StatusServiceUnavailable, "length", "failed", true}

type answerEnd struct {
	name    string
	path    string
	answers []rawAnswer
	want    received
}

func (test answerEnd) run(t *testing.T) {
	t.Run(test.name, func(t *testing.T) {
		c := qt.New(t)
		got := request(c, test.path, test.answers...)
		c.Assert(got, qt.Equals, test.want, qt.Commentf("%+v", got))
	})
}

func one(head, body string) []rawAnswer   { return []rawAnswer{{head: head, body: body}} }
func reset(head, body string) []rawAnswer { return []rawAnswer{{head: head, body: body, reset: true}} }

// TestAnswerEnds has a row for each way in which an upstream's framed answer
// ends, and what the caller sees of it.
func TestAnswerEnds(t *testing.T) {
	wholeStream := received{200, "chunks", threeEvents, true}
	cutStream := received{200, "chunks", threeEvents, false}
	wholeDocument := received{200, "length", document, true}
	tests := []answerEnd{
		{"stream, length, whole", oncePath, one(streamHead+lengthHead(len(threeEvents)), threeEvents), wholeStream},
		{"stream, length, closed early", oncePath, one(streamHead+lengthHead(len(threeEvents)+9), threeEvents), cutStream},
		{"stream, length, reset", oncePath, reset(streamHead+lengthHead(len(threeEvents)+9), threeEvents), cutStream},
		{"stream, chunks, whole", oncePath, one(streamHead+chunksHead, chunk(threeEvents)+chunk("")), wholeStream},
		{"stream, chunks, closed early", oncePath, one(streamHead+chunksHead, chunk(threeEvents)), cutStream},
		{"stream, chunks, closed inside an event", oncePath, one(streamHead+chunksHead, chunk(insideEvent)), cutStream},
		{"stream, chunks, reset", oncePath, reset(streamHead+chunksHead, chunk(insideEvent)), cutStream},
		{"stream, chunks, no event", oncePath, one(streamHead+chunksHead, chunk("")), received{200, "chunks", "", true}},
		{"stream, chunks, closed before the first event", oncePath, one(streamHead+chunksHead, ""), failed},
		{"document, length, whole", unsafePath, one(plainHead+lengthHead(len(document)), document), wholeDocument},
		{"document, length, closed early", unsafePath, one(plainHead+lengthHead(len(document)+1), document), failed},
		{"document, length, reset", unsafePath, reset(plainHead+lengthHead(len(document)+1), document), failed},
		{"document, chunks, whole", unsafePath, one(plainHead+chunksHead, chunk(document)+chunk("")), wholeDocument},
		{"document, chunks, closed early", unsafePath, one(plainHead+chunksHead, chunk(document)), failed},
		{"document, close, reset", unsafePath, reset(plainHead+closeHead, document), failed},
		{"no answer", unsafePath, one("HTTP/1.1 ", ""), failed},
		{"cut document, repeated", safePath, append(one(plainHead+lengthHead(20), document), one(plainHead+lengthHead(len(document)), document)...), wholeDocument},
	}
	for _, test := range tests {
		test.run(t)
	}
}

// TestStreamBrokenOffInsideEventLooksIncomplete: a crashed engine can end its
// answer inside an event although the framing says that it is whole.
func TestStreamBrokenOffInsideEventLooksIncomplete(t *testing.T) {
	tests := []answerEnd{
		{"length", oncePath, one(streamHead+lengthHead(len(insideEvent)), insideEvent), received{200, "chunks", threeEvents, false}},
		{"chunks", oncePath, one(streamHead+chunksHead, chunk(insideEvent)+chunk("")), received{200, "chunks", threeEvents, false}},
		{"close", oncePath, one(streamHead+closeHead, insideEvent), received{200, "close", threeEvents, false}},
		{"close, before the first event's end", oncePath, one(streamHead+closeHead, event(1)[:9]), failed},
		{"close, before the first event", oncePath, one(streamHead+closeHead, ""), failed},
		{"resumed", resumePath, append(one(streamHead+chunksHead, chunk(insideEvent)+chunk("")), one(streamHead+chunksHead, chunk(event(4))+chunk(""))...), received{200, "chunks", threeEvents + event(4), true}},
	}
	for _, test := range tests {
		test.run(t)
	}
}

// TestUncertainEndIsNotFramedAsComplete: an answer that ends with its connection
// may have been cut, so that the caller's answer may not have a mark of its end.
func TestUncertainEndIsNotFramedAsComplete(t *testing.T) {
	failure := "HTTP/1.1 500 Internal Server Error\r\n"
	brokenStream := rawAnswer{head: streamHead + chunksHead, body: chunk(threeEvents)}
	unmarkedRest := rawAnswer{head: streamHead + closeHead, body: event(4)}
	tests := []answerEnd{
		{"stream", oncePath, one(streamHead+closeHead, threeEvents), received{200, "close", threeEvents, true}},
		{"stream, reset", oncePath, reset(streamHead+closeHead, threeEvents), received{200, "close", threeEvents, false}},
		{"stream, resumed without a mark", resumePath, []rawAnswer{brokenStream, unmarkedRest, {head: streamHead + closeHead}}, received{200, "chunks", threeEvents + event(4), false}},
		{"stream, resumed without a mark, then with one", resumePath, []rawAnswer{brokenStream, unmarkedRest, {head: streamHead + chunksHead, body: chunk("")}}, received{200, "chunks", threeEvents + event(4), true}},
		{"stream, resumed with a mark", resumePath, append(one(streamHead+closeHead, insideEvent), one(streamHead+chunksHead, chunk(event(4))+chunk(""))...), received{200, "close", threeEvents + event(4), true}},
		{"document", unsafePath, one(plainHead+closeHead, document), received{200, "close", document, true}},
		{"document on a streaming route", oncePath, one(plainHead+closeHead, document), received{200, "close", document, true}},
		{"upstream's error", unsafePath, one(failure+closeHead, "oh"), received{500, "close", "oh", true}},
	}
	for _, test := range tests {
		test.run(t)
	}
}

// readRaw sends a request over a connection of its own and returns how reading
// the answer ended; closeNode closes the node's server in the middle of it.
func readRaw(c *qt.C, version string, closeNode bool, answer rawAnswer) error {
	server := serveNode(c, newTestRunner(startRawUpstream(c, answer)))
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET "+oncePath+" "+version+"\r\nHost: h\r\n\r\n")
	c.Assert(err, qt.IsNil)
	r := bufio.NewReader(conn)
	for line := ""; line != "data: token 3\n"; {
		line, err = r.ReadString('\n')
		c.Assert(err, qt.IsNil)
	}
	if closeNode {
		c.Assert(server.Config.Close(), qt.IsNil)
	}
	_, err = io.Copy(io.Discard, r)
	return err
}

// TestCloseWithoutFinishResetsCaller: an answer whose only mark of its end is the
// close of the connection is reset if the node ends it for another reason.
func TestCloseWithoutFinishResetsCaller(t *testing.T) {
	c := qt.New(t)
	open := rawAnswer{head: streamHead + closeHead, body: threeEvents, reset: true}
	c.Assert(readRaw(c, "HTTP/1.1", true, open), qt.ErrorIs, syscall.ECONNRESET)
	cut := rawAnswer{head: streamHead + chunksHead, body: chunk(threeEvents)}
	c.Assert(readRaw(c, "HTTP/1.0", false, cut), qt.ErrorIs, syscall.ECONNRESET)
	whole := rawAnswer{head: streamHead + chunksHead, body: chunk(threeEvents) + chunk("")}
	c.Assert(readRaw(c, "HTTP/1.0", false, whole), qt.IsNil)
}

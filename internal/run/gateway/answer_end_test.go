package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/standin/rawhttp"
)

// Heads of answers by their content type.
const (
	streamHead = "Content-Type: text/event-stream\r\n"
	plainHead  = "Content-Type: application/json\r\n"
)

// received is an answer as the caller sees it.
type received struct {
	status  int
	framing string
	body    string
	// whole is set if the answer ended as its framing demands.
	whole bool
}

// request sends a request to a node with one upstream and reads the answer.
func request(c *qt.C, path string, answers ...rawhttp.Answer) received {
	server := serveNode(c, newTestRunner(rawhttp.Start(c, answers...)))
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
// resume, requests that can be repeated, requests that run once, and those with a
// short timeout.
const (
	oncePath   = "/d/1"
	resumePath = "/s/1"
	safePath   = "/q/1"
	unsafePath = "/o/1"
	shortPath  = "/t/1"
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
	answers []rawhttp.Answer
	want    received
}

func (test answerEnd) run(t *testing.T) {
	t.Run(test.name, func(t *testing.T) {
		c := qt.New(t)
		got := request(c, test.path, test.answers...)
		c.Assert(got, qt.Equals, test.want, qt.Commentf("%+v", got))
	})
}

func one(head, body string) []rawhttp.Answer { return []rawhttp.Answer{{Head: head, Body: body}} }
func reset(head, body string) []rawhttp.Answer {
	return []rawhttp.Answer{{Head: head, Body: body, Reset: true}}
}

// TestAnswerEnds has a row for each way in which an upstream's framed answer
// ends, and what the caller sees of it.
func TestAnswerEnds(t *testing.T) {
	wholeStream := received{200, "chunks", threeEvents, true}
	cutStream := received{200, "chunks", threeEvents, false}
	wholeDocument := received{200, "length", document, true}
	tests := []answerEnd{
		{"stream, length, whole", oncePath, one(streamHead+rawhttp.Length(len(threeEvents)), threeEvents), wholeStream},
		{"stream, length, closed early", oncePath, one(streamHead+rawhttp.Length(len(threeEvents)+9), threeEvents), cutStream},
		{"stream, length, reset", oncePath, reset(streamHead+rawhttp.Length(len(threeEvents)+9), threeEvents), cutStream},
		{"stream, chunks, whole", oncePath, one(streamHead+rawhttp.Chunked, rawhttp.Chunk(threeEvents)+rawhttp.Chunk("")), wholeStream},
		{"stream, chunks, closed early", oncePath, one(streamHead+rawhttp.Chunked, rawhttp.Chunk(threeEvents)), cutStream},
		{"stream, chunks, closed inside an event", oncePath, one(streamHead+rawhttp.Chunked, rawhttp.Chunk(insideEvent)), cutStream},
		{"stream, chunks, reset", oncePath, reset(streamHead+rawhttp.Chunked, rawhttp.Chunk(insideEvent)), cutStream},
		{"stream, chunks, no event", oncePath, one(streamHead+rawhttp.Chunked, rawhttp.Chunk("")), received{200, "chunks", "", true}},
		{"stream, chunks, closed before the first event", oncePath, one(streamHead+rawhttp.Chunked, ""), failed},
		{"document, length, whole", unsafePath, one(plainHead+rawhttp.Length(len(document)), document), wholeDocument},
		{"document, length, closed early", unsafePath, one(plainHead+rawhttp.Length(len(document)+1), document), failed},
		{"document, length, reset", unsafePath, reset(plainHead+rawhttp.Length(len(document)+1), document), failed},
		{"document, chunks, whole", unsafePath, one(plainHead+rawhttp.Chunked, rawhttp.Chunk(document)+rawhttp.Chunk("")), wholeDocument},
		{"document, chunks, closed early", unsafePath, one(plainHead+rawhttp.Chunked, rawhttp.Chunk(document)), failed},
		{"document, close, reset", unsafePath, reset(plainHead+rawhttp.Unmarked, document), failed},
		{"no answer", unsafePath, one("HTTP/1.1 ", ""), failed},
		{"cut document, repeated", safePath, append(one(plainHead+rawhttp.Length(20), document), one(plainHead+rawhttp.Length(len(document)), document)...), wholeDocument},
	}
	for _, test := range tests {
		test.run(t)
	}
}

// TestStreamBrokenOffInsideEventLooksIncomplete: a crashed engine can end its
// answer inside an event although the framing says that it is whole.
func TestStreamBrokenOffInsideEventLooksIncomplete(t *testing.T) {
	tests := []answerEnd{
		{"length", oncePath, one(streamHead+rawhttp.Length(len(insideEvent)), insideEvent), received{200, "chunks", threeEvents, false}},
		{"chunks", oncePath, one(streamHead+rawhttp.Chunked, rawhttp.Chunk(insideEvent)+rawhttp.Chunk("")), received{200, "chunks", threeEvents, false}},
		{"close", oncePath, one(streamHead+rawhttp.Unmarked, insideEvent), received{200, "close", threeEvents, false}},
		{"close, before the first event's end", oncePath, one(streamHead+rawhttp.Unmarked, event(1)[:9]), failed},
		{"close, before the first event", oncePath, one(streamHead+rawhttp.Unmarked, ""), failed},
		{"resumed", resumePath, append(one(streamHead+rawhttp.Chunked, rawhttp.Chunk(insideEvent)+rawhttp.Chunk("")), one(streamHead+rawhttp.Chunked, rawhttp.Chunk(event(4))+rawhttp.Chunk(""))...), received{200, "chunks", threeEvents + event(4), true}},
	}
	for _, test := range tests {
		test.run(t)
	}
}

// TestUncertainEndIsNotFramedAsComplete: an answer that ends with its connection
// may have been cut, so that the caller's answer may not have a mark of its end.
func TestUncertainEndIsNotFramedAsComplete(t *testing.T) {
	failure := "HTTP/1.1 500 Internal Server Error\r\n"
	brokenStream := rawhttp.Answer{Head: streamHead + rawhttp.Chunked, Body: rawhttp.Chunk(threeEvents)}
	unmarkedRest := rawhttp.Answer{Head: streamHead + rawhttp.Unmarked, Body: event(4)}
	tests := []answerEnd{
		{"stream", oncePath, one(streamHead+rawhttp.Unmarked, threeEvents), received{200, "close", threeEvents, true}},
		{"stream, reset", oncePath, reset(streamHead+rawhttp.Unmarked, threeEvents), received{200, "close", threeEvents, false}},
		{"stream, resumed without a mark", resumePath, []rawhttp.Answer{brokenStream, unmarkedRest, {Head: streamHead + rawhttp.Unmarked}}, received{200, "chunks", threeEvents + event(4), false}},
		{"stream, resumed without a mark, then with one", resumePath, []rawhttp.Answer{brokenStream, unmarkedRest, {Head: streamHead + rawhttp.Chunked, Body: rawhttp.Chunk("")}}, received{200, "chunks", threeEvents + event(4), true}},
		{"stream, resumed with a mark", resumePath, append(one(streamHead+rawhttp.Unmarked, insideEvent), one(streamHead+rawhttp.Chunked, rawhttp.Chunk(event(4))+rawhttp.Chunk(""))...), received{200, "close", threeEvents + event(4), true}},
		{"document", unsafePath, one(plainHead+rawhttp.Unmarked, document), received{200, "close", document, true}},
		{"document on a streaming route", oncePath, one(plainHead+rawhttp.Unmarked, document), received{200, "close", document, true}},
		{"upstream's error", unsafePath, one(failure+rawhttp.Unmarked, "oh"), received{500, "close", "oh", true}},
	}
	for _, test := range tests {
		test.run(t)
	}
}

// readRaw sends a request over a connection of its own and returns how reading
// the answer ended; closeNode closes the node's server in the middle of it.
func readRaw(c *qt.C, version string, closeNode bool, answer rawhttp.Answer) error {
	server := serveNode(c, newTestRunner(rawhttp.Start(c, answer)))
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
	open := rawhttp.Answer{Head: streamHead + rawhttp.Unmarked, Body: threeEvents, Hold: true}
	c.Assert(readRaw(c, "HTTP/1.1", true, open), qt.ErrorIs, syscall.ECONNRESET)
	cut := rawhttp.Answer{Head: streamHead + rawhttp.Chunked, Body: rawhttp.Chunk(threeEvents)}
	c.Assert(readRaw(c, "HTTP/1.0", false, cut), qt.ErrorIs, syscall.ECONNRESET)
	whole := rawhttp.Answer{Head: streamHead + rawhttp.Chunked, Body: rawhttp.Chunk(threeEvents) + rawhttp.Chunk("")}
	c.Assert(readRaw(c, "HTTP/1.0", false, whole), qt.IsNil)
}

// TestCutRequestIsRefused: a request whose body ends early is not sent to an
// upstream, whose answer would belong to another request.
func TestCutRequestIsRefused(t *testing.T) {
	for name, request := range map[string]string{
		"length": "Content-Length: 10\r\n\r\nabc",
		"chunks": rawhttp.Chunked + "\r\n" + rawhttp.Chunk("abc"),
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var runs atomic.Int32
			server, _ := newTestNode(c, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			c.Assert(err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, "POST "+unsafePath+" HTTP/1.1\r\nHost: h\r\n"+request)
			c.Assert(err, qt.IsNil)
			c.Assert(conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			c.Assert(err, qt.IsNil)
			c.Assert(resp.StatusCode, qt.Equals, http.StatusBadRequest)
			c.Assert(runs.Load(), qt.Equals, int32(0))
		})
	}
}

// TestResumedStreamTakesEventsOnly: what is no event stream is not appended to a
// stream that has begun.
func TestResumedStreamTakesEventsOnly(t *testing.T) {
	broken := rawhttp.Answer{Head: streamHead + rawhttp.Chunked, Body: rawhttp.Chunk(threeEvents)}
	rest := rawhttp.Answer{Head: streamHead + rawhttp.Chunked, Body: rawhttp.Chunk(event(4)) + rawhttp.Chunk("")}
	want := received{200, "chunks", threeEvents + event(4), true}
	for name, second := range map[string]rawhttp.Answer{
		"document":                   {Head: plainHead + rawhttp.Length(len(document)), Body: document},
		"status 404":                 {Head: "HTTP/1.1 404 Not Found\r\n" + streamHead + rawhttp.Length(len(document)), Body: document},
		"status 500":                 {Head: "HTTP/1.1 500 Internal Server Error\r\n" + streamHead + rawhttp.Unmarked + rawhttp.Length(len(document)), Body: document},
		"refusal":                    {Head: "HTTP/1.1 503 Service Unavailable\r\n" + streamHead + rawhttp.Unmarked + rawhttp.Length(len(document)), Body: document},
		"no type":                    {Head: rawhttp.Length(len(document)), Body: document},
		"no type, with a blank line": {Head: rawhttp.Length(len(document) + 2), Body: document + "\n\n"},
		"text":                       {Head: streamHead + rawhttp.Length(len("upstream failed: full\n\n")), Body: "upstream failed: full\n\n"},
		"head":                       {Head: streamHead + rawhttp.Unmarked, Body: "HTTP/1.1 500 Internal Server Error\r\n" + plainHead + "\r\n" + document},
		"event without an ID":        {Head: streamHead + rawhttp.Length(len("error: full\n\n")), Body: "error: full\n\n"},
		"event again":                {Head: streamHead + rawhttp.Length(len(event(3))), Body: event(3)},
	} {
		answerEnd{name, resumePath, []rawhttp.Answer{broken, second, rest}, want}.run(t)
	}
}

// TestHeadInsideStreamIsNoEvent guards against the head of a second answer in the body of one that ends
// with its connection.
func TestHeadInsideStreamIsNoEvent(t *testing.T) {
	second := "HTTP/1.1 503 Service Unavailable\r\n" + plainHead + "\r\n" + document
	answerEnd{"once", oncePath, one(streamHead+rawhttp.Unmarked, threeEvents+second), failed}.run(t)
	first := rawhttp.Answer{Head: streamHead + rawhttp.Unmarked, Body: threeEvents + second}
	rest := rawhttp.Answer{Head: streamHead + rawhttp.Chunked, Body: rawhttp.Chunk(threeEvents) + rawhttp.Chunk("")}
	answerEnd{"again", resumePath, []rawhttp.Answer{first, rest}, received{200, "chunks", threeEvents, true}}.run(t)
}

func TestContinuation(t *testing.T) {
	for _, row := range []struct {
		resumed, lines bool
		events         string
		valid          bool
	}{
		{true, true, event(4) + event(5), true},
		{true, true, ": comment\n\n" + event(4), true},
		{true, true, "weight-versions: 2\nid: 4\ndata\n\n", true},
		{true, true, "id: 4\r\ndata: a\r\n\r\nid: 5\r\n\r\n", true},
		{true, true, "id: 4\rdata: a\r\r", true},
		{true, true, "id: x4\ndata: a\n\n", true},
		{true, true, event(3), false},
		{true, true, event(4) + event(4), false},
		{true, true, "data: a\n\n", false},
		{true, true, event(4) + "HTTP/1.1 500 Error\r\n\r\n", false},
		{true, true, "Content-Type: text/plain\r\n\r\n", false},
		{true, true, document + "\n\n", false},
		{false, true, "data: a\n\n", true},
		{false, true, "HTTP/1.1 500 Error\r\n\r\n", false},
		{false, false, "HTTP/1.1 500 Error\r\n\r\n", true},
	} {
		c := continuation{resumed: row.resumed, lines: row.lines, lastID: "3"}
		qt.Check(t, c.check([]byte(row.events)) == nil, qt.Equals, row.valid, qt.Commentf("%q", row.events))
	}
}

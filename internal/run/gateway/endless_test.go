package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/standin/rawhttp"
)

const (
	// endlessTime bounds the time until the caller has an answer although an
	// upstream sends bytes without end.
	endlessTime = 3 * time.Second
	// socketBytes is what the kernel may hold of bytes that nobody has read, on both
	// sides of a loopback connection.
	socketBytes = 16 << 20
)

// TestAnswersWithoutEnd: upstreams in trouble send bytes without end, in the head or
// in the body of an answer. A head was read without a bound, a refusal until the
// request's deadline, and an answer of 64 MB was held in memory.
func TestAnswersWithoutEnd(t *testing.T) {
	repeated := received{200, "length", document, true}
	informational := "HTTP/1.1 100 Continue\r\n\r\n"
	refusal, failure := "HTTP/1.1 503 Service Unavailable\r\n", "HTTP/1.1 500 Internal Server Error\r\n"
	for _, row := range []struct {
		name   string
		path   string
		answer rawhttp.Answer
		// bytes bounds what is read of the endless bytes.
		bytes int64
		want  received
	}{
		{"status line", safePath, rawhttp.Answer{Head: "HTTP/1.1 200 ", EndlessHead: true, Endless: "x"}, 64 << 10, repeated},
		{"no answer at all", safePath, rawhttp.Answer{Head: "HTTP/", EndlessHead: true, Endless: "\x00\n"}, 64 << 10, repeated},
		{"header line", safePath, rawhttp.Answer{Head: "Name: ", EndlessHead: true, Endless: "x"}, 64 << 10, repeated},
		{"header lines", safePath, rawhttp.Answer{EndlessHead: true, Endless: "Name: value\r\n"}, 64 << 10, repeated},
		{"informational answers", safePath, rawhttp.Answer{Head: informational, EndlessHead: true, Endless: informational}, 64 << 10, repeated},
		{"header lines, slowly", "/t/1", rawhttp.Answer{EndlessHead: true, Endless: "Name: value\r\n", Pause: 10 * time.Millisecond}, 64 << 10, late},
		{"refusal", safePath, rawhttp.Answer{Head: refusal + rawhttp.Unmarked, Endless: "x"}, maxRefusalBytes, repeated},
		{"refusal, slowly", safePath, rawhttp.Answer{Head: refusal + rawhttp.Unmarked, Endless: "x", Pause: 10 * time.Millisecond}, maxRefusalBytes, repeated},
		{"error", safePath, rawhttp.Answer{Head: failure + rawhttp.Unmarked, Endless: "x"}, maxBufferedBytes, repeated},
		{"error, slowly", "/t/1", rawhttp.Answer{Head: failure + rawhttp.Unmarked, Endless: "x", Pause: 10 * time.Millisecond}, maxBufferedBytes, late},
		{"document, slowly", "/t/1", rawhttp.Answer{Head: plainHead + rawhttp.Unmarked, Endless: "x", Pause: 10 * time.Millisecond}, maxBufferedBytes, late},
		{"document with a length beyond the limit", safePath, rawhttp.Answer{Head: plainHead + rawhttp.Length(maxAnswerBytes+1), Endless: "x"}, 0, repeated},
		{"chunk's length", safePath, rawhttp.Answer{Head: plainHead + rawhttp.Chunked, Endless: "1"}, 64 << 10, repeated},
		{"chunk's extension", safePath, rawhttp.Answer{Head: plainHead + rawhttp.Chunked, Body: "1;", Endless: "x"}, 64 << 10, repeated},
		{"trailer", safePath, rawhttp.Answer{Head: plainHead + rawhttp.Chunked, Body: "0\r\n", Endless: "Name: value\r\n"}, 64 << 10, repeated},
		{"event", oncePath, rawhttp.Answer{Head: streamHead + rawhttp.Unmarked, Body: "data: ", Endless: "x"}, maxEventBytes, failed},
		{"comments", oncePath, rawhttp.Answer{Head: streamHead + rawhttp.Unmarked, Endless: ":\n"}, maxEventBytes, failed},
		{"event after others", oncePath, rawhttp.Answer{Head: streamHead + rawhttp.Chunked, Body: rawhttp.Chunk(threeEvents + "data: "), Endless: rawhttp.Chunk("x")}, 8 * maxEventBytes, received{200, "chunks", threeEvents, false}},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			var sent atomic.Int64
			row.answer.Sent = &sent
			whole := rawhttp.Answer{Head: plainHead + rawhttp.Length(len(document)), Body: document}
			start := time.Now()
			got := request(c, row.path, row.answer, whole)
			c.Check(got, qt.Equals, row.want, qt.Commentf("%+v", got))
			c.Check(time.Since(start) < endlessTime, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
			c.Check(sent.Load() <= row.bytes+socketBytes, qt.IsTrue, qt.Commentf("%d bytes", sent.Load()))
		})
	}
}

// late is the answer of testProtocol to a request whose deadline has passed.
var late = received{http.StatusServiceUnavailable, "length", "late", true}

// TestRelayedAnswersWithoutEnd: what is relayed while it arrives ends at the size
// limit, and does not look complete.
func TestRelayedAnswersWithoutEnd(t *testing.T) {
	block := string(make([]byte, 1<<16))
	for name, answer := range map[string]rawhttp.Answer{
		"document in chunks":      {Head: plainHead + rawhttp.Chunked, Endless: rawhttp.Chunk(block)},
		"document without a mark": {Head: plainHead + rawhttp.Unmarked, Endless: block},
		"events":                  {Head: streamHead + rawhttp.Chunked, Endless: rawhttp.Chunk(event(1))},
		"blank lines":             {Head: streamHead + rawhttp.Unmarked, Endless: "\n"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server := serveNode(c, newTestRunner(rawhttp.Start(c, answer)))
			resp, err := get(c, context.Background(), server, oncePath)
			c.Assert(err, qt.IsNil)
			defer func() { _ = resp.Body.Close() }()
			n, err := io.Copy(io.Discard, resp.Body)
			c.Check(err, qt.IsNotNil)
			c.Check(n <= maxAnswerBytes+readBufferBytes, qt.IsTrue, qt.Commentf("%d bytes", n))
		})
	}
}

// TestLongDocumentIsRelayedWhole: a document that is not held in memory reaches its
// caller whole, in the framing of its upstream; one that is cut does not look whole.
func TestLongDocumentIsRelayedWhole(t *testing.T) {
	body := string(make([]byte, 3*maxBufferedBytes))
	for _, row := range []struct {
		name    string
		answers []rawhttp.Answer
		framing string
		whole   bool
	}{
		{"length", one(plainHead+rawhttp.Length(len(body)), body), "length", true},
		{"chunks", one(plainHead+rawhttp.Chunked, rawhttp.Chunk(body)+rawhttp.Chunk("")), "chunks", true},
		{"close", one(plainHead+rawhttp.Unmarked, body), "close", true},
		{"length, cut", one(plainHead+rawhttp.Length(len(body)+1), body), "length", false},
		{"chunks, cut", one(plainHead+rawhttp.Chunked, rawhttp.Chunk(body)), "chunks", false},
		{"close, reset", reset(plainHead+rawhttp.Unmarked, body), "close", false},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			got := request(c, unsafePath, row.answers...)
			c.Check(got.status, qt.Equals, http.StatusOK)
			c.Check(got.framing, qt.Equals, row.framing)
			c.Check(got.whole, qt.Equals, row.whole)
			if row.whole {
				c.Check(got.body == body, qt.IsTrue)
			}
		})
	}
}

// TestAnswerCutByItsDeadlineLooksCut guards against a long answer that its deadline cuts while it is
// relayed, and that ended in order with a refusal after its first part.
func TestAnswerCutByItsDeadlineLooksCut(t *testing.T) {
	body := string(make([]byte, 3*maxBufferedBytes))
	for name, answer := range map[string]rawhttp.Answer{
		"chunks": {Head: plainHead + rawhttp.Chunked, Body: rawhttp.Chunk(body), Hold: true},
		"length": {Head: plainHead + rawhttp.Length(len(body)+1), Body: body, Hold: true},
		"close":  {Head: plainHead + rawhttp.Unmarked, Body: body, Hold: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			got := request(c, shortPath, answer)
			c.Check(got.status, qt.Equals, http.StatusOK)
			c.Check(got.whole, qt.IsFalse)
			c.Check(strings.HasPrefix(body, got.body), qt.IsTrue, qt.Commentf("%d bytes, end %q", len(got.body), got.body[max(0, len(got.body)-20):]))
		})
	}
}

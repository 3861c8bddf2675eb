// Package rawhttp is a stand-in for an HTTP server that answers byte for byte, so
// that tests can play answers that net/http does not write: without a mark of
// their end, cut short, or reset.
//
// # Usage
//
//	address := rawhttp.Start(t, rawhttp.Answer{Head: rawhttp.Length(9), Body: "cut"})
package rawhttp

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Heads of answers by what marks the end of the body.
const (
	Chunked = "Transfer-Encoding: chunked\r\n"
	// Unmarked: the body ends with the connection.
	Unmarked = "Connection: close\r\n"
)

// Length returns the head of an answer with n bytes.
func Length(n int) string { return "Content-Length: " + strconv.Itoa(n) + "\r\n" }

// Chunk encodes a chunk; the empty one ends a body.
func Chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// resetDelay lets an answer arrive before a reset discards what is unread.
const resetDelay = 250 * time.Millisecond

// Answer is an answer and how its connection ends.
type Answer struct {
	// Head has the header lines; a status line is added unless it has one.
	Head string
	Body string
	// Reset ends the connection with a reset instead of an orderly close, Hold keeps
	// it open until the test ends.
	Reset, Hold bool
	// Early is the number of bytes of the request's body that are read, after the answer has been
	// sent; 0 reads all of it before the answer. A reset follows at once then.
	Early int64
	// Endless is a text that is repeated until the reader closes the connection: in
	// the head if EndlessHead is set, otherwise in the body.
	Endless     string
	EndlessHead bool
	// Pause is the time between two repetitions; without it, many are sent at once.
	Pause time.Duration
	// Sent, if set, counts the bytes of Endless that were sent, in all connections.
	Sent *atomic.Int64
}

// Test is what Start needs of a test.
type Test interface {
	Cleanup(f func())
	Fatal(args ...any)
}

// Start serves one answer per connection, the last one repeatedly, on a loopback
// address until the test ends.
func Start(t Test, answers ...Answer) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal("listen for raw answers:", err)
	}
	over := make(chan struct{})
	t.Cleanup(func() {
		_ = l.Close()
		close(over)
	})
	go func() {
		for i := 0; ; i++ {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go answers[min(i, len(answers)-1)].serve(conn.(*net.TCPConn), over)
		}
	}()
	return l.Addr().String()
}

// serve reads one request, answers it and ends the connection, at the latest when
// the test is over.
func (a Answer) serve(conn *net.TCPConn, over <-chan struct{}) {
	defer func() { _ = conn.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if a.Early == 0 {
		_, _ = io.Copy(io.Discard, req.Body)
	}
	head := a.Head
	if !strings.HasPrefix(head, "HTTP/") {
		head = "HTTP/1.1 200 OK\r\n" + head
	}
	if !a.EndlessHead {
		head += "\r\n" + a.Body
	}
	_, _ = io.WriteString(conn, head)
	a.sendEndless(conn)
	if a.Hold {
		<-over
	}
	if a.Early > 0 {
		_, _ = io.CopyN(io.Discard, req.Body, a.Early)
	}
	if a.Reset {
		if a.Early == 0 {
			time.Sleep(resetDelay)
		}
		_ = conn.SetLinger(0)
	}
}

// endlessBlock is the size of one write of an endless text.
const endlessBlock = 16 << 10

// sendEndless repeats the endless text, if there is one, until the reader closes.
func (a Answer) sendEndless(conn *net.TCPConn) {
	if a.Endless == "" {
		return
	}
	block := a.Endless
	if a.Pause == 0 {
		block = strings.Repeat(a.Endless, 1+endlessBlock/len(a.Endless))
	}
	for ; ; time.Sleep(a.Pause) {
		n, err := io.WriteString(conn, block)
		if a.Sent != nil {
			a.Sent.Add(int64(n))
		}
		if err != nil {
			return
		}
	}
}

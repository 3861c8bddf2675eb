package boundedtcp

import (
	"container/list"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/go-faster/errors"

	"monsoonlanding/internal/core/memory"
)

const (
	// bytesPerHeadByte is the memory that a byte of a head may take while it is parsed: a line of
	// four bytes becomes an entry of a map with two strings.
	bytesPerHeadByte = 32
	// bytesPerLine is the memory of a parsed header line beside its text, in the caller's request and
	// in the copy for an upstream.
	bytesPerLine = 400
	// readAhead is what a read may return beyond the end of a head.
	readAhead = 4 << 10
)

// Answers to requests whose heads are not read to their end.
const (
	answerHeadTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	answerBusy         = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// errRefused ends the reading of a head that is refused.
var errRefused = errors.New("head of the request refused")

// Conn is a connection that a Listener has accepted.
type Conn struct {
	*net.TCPConn
	listener *Listener
	// element and forgotten are guarded by the listener's lock.
	element   *list.Element
	forgotten bool

	// mu guards the fields below.
	mu sync.Mutex
	// inHead is set until the head of the next request has been read, headBytes is what has been
	// read of it.
	inHead    bool
	headBytes int
	head      *memory.Lease
	refused   bool
}

// Read reads from the connection. While a head is read, its memory is taken from the budget.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n == 0 {
		return n, err
	}
	if cause := c.takeHead(n); cause != "" {
		c.refuse(cause)
		return 0, errRefused
	}
	return n, err
}

// takeHead accounts for bytes that were read. It returns why the head is refused, if it is.
func (c *Conn) takeHead(n int) Cause {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inHead {
		return ""
	}
	c.headBytes += n
	switch {
	case c.headBytes > readAhead && c.headBytes > c.listener.cfg.MaxHeadBytes()+readAhead:
		return CauseHeadSize
	case !c.head.Grow(int64(n) * bytesPerHeadByte):
		return CauseHeadMemory
	default:
		return ""
	}
}

// refuse answers a head that is refused. No answer is under way while a head is read.
func (c *Conn) refuse(cause Cause) {
	c.mu.Lock()
	again := c.refused
	c.refused = true
	c.mu.Unlock()
	if again {
		return
	}
	c.listener.cfg.OnClose(cause)
	answer := answerBusy
	if cause == CauseHeadSize {
		answer = answerHeadTooLarge
	}
	// A write error means that the client has disconnected.
	_, _ = io.WriteString(c.TCPConn, answer)
	_ = c.CloseWrite()
}

// HeadRead notes that the head of a request has been read and parsed.
func (c *Conn) HeadRead(h http.Header) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHead = false
	c.head.Shrink(headMemory(h))
}

// headMemory estimates the memory of a parsed head.
func headMemory(h http.Header) int64 {
	var n int64
	for name, values := range h {
		for _, value := range values {
			n += bytesPerLine + 2*int64(len(name)+len(value))
		}
	}
	return n
}

// RequestRead notes that a whole request has been read. Its connection is not evicted until it
// has been answered.
func (c *Conn) RequestRead() {
	if c == nil {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.setRead(c)
}

// awaitRequest notes that a request has been answered and the next one may follow.
func (c *Conn) awaitRequest() {
	c.mu.Lock()
	c.inHead, c.headBytes = true, 0
	c.head.Release()
	c.mu.Unlock()
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.setUnread(c)
}

// Close closes the connection and gives back what it has taken.
func (c *Conn) Close() error {
	c.listener.mu.Lock()
	c.listener.forget(c)
	c.listener.mu.Unlock()
	c.mu.Lock()
	c.inHead = false
	c.head.Release()
	c.mu.Unlock()
	return c.TCPConn.Close()
}

// Package duplicates is a listener whose connections send answers a second time, late: where the answer
// to a later request on the same connection is expected.
//
// # Usage
//
//	l := duplicates.Listen(inner)
//	go server.Serve(l)
//	l.SetShare(0.3)
package duplicates

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
)

const (
	// maxCopyBytes bounds an answer that is sent again.
	maxCopyBytes = 16 << 10
	// maxCopies bounds the answers that a connection remembers.
	maxCopies = 4
)

// Listener accepts connections of one answer after the other.
type Listener struct {
	net.Listener
	// perMille is the share of answers before which an earlier one is sent again.
	perMille atomic.Int64
	copies   atomic.Int64
}

// Listen returns a listener that sends nothing twice until SetShare.
func Listen(l net.Listener) *Listener { return &Listener{Listener: l} }

// SetShare sets the share of answers before which an earlier one is sent again, 0 to 1.
func (l *Listener) SetShare(share float64) { l.perMille.Store(int64(share * 1000)) }

// Copies returns the number of answers sent again so far.
func (l *Listener) Copies() int64 { return l.copies.Load() }

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, listener: l}, nil
}

// conn takes what is written between two reads of requests as one answer.
type conn struct {
	net.Conn
	listener *Listener
	mu       sync.Mutex
	earlier  [][]byte
	current  []byte
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.endAnswer()
	}
	return n, err
}

// endAnswer remembers the answer that has been written, if there is one.
func (c *conn) endAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.current) > 0 && len(c.current) <= maxCopyBytes {
		c.earlier = append(c.earlier, c.current)
		c.earlier = c.earlier[max(0, len(c.earlier)-maxCopies):]
	}
	c.current = nil
}

func (c *conn) Write(b []byte) (int, error) {
	if again := c.beginWrite(b); again != nil {
		c.listener.copies.Add(1)
		if _, err := c.Conn.Write(again); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(b)
}

// beginWrite adds what is written to the current answer. It returns the answer to send again before,
// nil if there is none.
func (c *conn) beginWrite(b []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	var again []byte
	if len(c.current) == 0 && len(c.earlier) > 0 && rand.Int64N(1000) < c.listener.perMille.Load() {
		again = c.earlier[rand.IntN(len(c.earlier))]
	}
	if len(c.current) <= maxCopyBytes {
		c.current = append(c.current, b...)
	}
	return again
}

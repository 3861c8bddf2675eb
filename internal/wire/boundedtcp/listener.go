package boundedtcp

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"

	"monsoonlanding/internal/core/memory"
)

// Cause is why a connection was closed.
type Cause string

// Causes.
const (
	// CauseEvicted: a newer connection took its place.
	CauseEvicted Cause = "connection_evicted"
	// CauseFull: all connections have requests that are being served.
	CauseFull Cause = "connection_refused"
	// CauseHeadMemory: the memory for heads is used up.
	CauseHeadMemory Cause = "head_memory"
	// CauseHeadSize: the head is longer than the limit.
	CauseHeadSize Cause = "head_size"
)

// Causes lists all causes.
func Causes() []Cause { return []Cause{CauseEvicted, CauseFull, CauseHeadMemory, CauseHeadSize} }

// Config bounds a Listener.
type Config struct {
	// MaxConns is the number of open connections.
	MaxConns int
	// Heads is the memory for heads that are being read or whose requests are being served.
	Heads *memory.Budget
	// MaxHeadBytes returns the limit of a head's length.
	MaxHeadBytes func() int
	// OnClose is called when the listener closes a connection.
	OnClose func(Cause)
}

// Listener accepts connections within the bounds.
type Listener struct {
	net.Listener
	cfg Config

	mu sync.Mutex
	// open is the number of open connections.
	open int
	// unread holds the connections whose next request has not been read whole, the one that has
	// been in that state for the longest time first.
	unread list.List
}

// New returns a listener that accepts the connections of a TCP listener.
func New(l net.Listener, cfg Config) *Listener { return &Listener{Listener: l, cfg: cfg} }

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := accepted.(*net.TCPConn)
		if !ok {
			return accepted, nil
		}
		c := &Conn{TCPConn: tcp, listener: l, inHead: true, head: l.cfg.Heads.Lease(memory.Head)}
		if l.add(c) {
			return c, nil
		}
		l.cfg.OnClose(CauseFull)
		_ = tcp.Close()
	}
}

// add registers a connection, in place of an unread one if there are too many.
func (l *Listener) add(c *Conn) bool {
	l.mu.Lock()
	var evicted *Conn
	if l.open >= l.cfg.MaxConns {
		first := l.unread.Front()
		if first == nil {
			l.mu.Unlock()
			return false
		}
		evicted = first.Value.(*Conn)
		l.forget(evicted)
	}
	l.open++
	c.element = l.unread.PushBack(c)
	l.mu.Unlock()
	if evicted != nil {
		_ = evicted.Close()
		l.cfg.OnClose(CauseEvicted)
	}
	return true
}

// forget removes a connection. The lock is held.
func (l *Listener) forget(c *Conn) {
	if c.forgotten {
		return
	}
	c.forgotten = true
	l.open--
	l.setRead(c)
}

// setRead notes that the request of a connection has been read. The lock is held.
func (l *Listener) setRead(c *Conn) {
	if c.element != nil {
		l.unread.Remove(c.element)
		c.element = nil
	}
}

// setUnread notes that the next request of a connection has not been read. The lock is held.
func (l *Listener) setUnread(c *Conn) {
	l.setRead(c)
	if !c.forgotten {
		c.element = l.unread.PushBack(c)
	}
}

// ConnState is the hook of that name of an http.Server.
func ConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if ok && state == http.StateIdle {
		c.awaitRequest()
	}
}

// connKey is the context key of a request's connection.
type connKey struct{}

// WithConn is the hook ConnContext of an http.Server.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// TCPOf returns the TCP connection of a request, nil if it has none.
func TCPOf(ctx context.Context) *net.TCPConn {
	if c := ConnOf(ctx); c != nil {
		return c.TCPConn
	}
	tcp, _ := ctx.Value(connKey{}).(*net.TCPConn)
	return tcp
}

// ConnOf returns the connection of a request, nil if a Listener did not accept it.
func ConnOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

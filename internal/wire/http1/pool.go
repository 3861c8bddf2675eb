package http1

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"monsoonlanding/internal/run/clock"
)

const (
	// connectTimeout bounds a connect to an upstream, which is some milliseconds
	// away.
	connectTimeout = 500 * time.Millisecond
	// ackTimeout bounds the time for which sent bytes may stay unacknowledged
	// before the connection fails.
	ackTimeout = 2 * time.Second
	// probeInterval is the interval of keep-alive probes on a silent connection,
	// which fails after probeCount unanswered probes.
	probeInterval = time.Second
	probeCount    = 2
	// defaultIdleTimeout bounds the time that a connection stays idle in the pool
	// if the upstream sends no idle timeout of its own.
	defaultIdleTimeout = 2 * time.Second
	// idleFraction is the fraction of the upstream's own idle timeout for which a
	// connection stays in the pool, so that the upstream does not close it while
	// a request is being sent.
	idleFraction = 0.5
	// MaxHeadBytes bounds the head of an answer, informational ones included.
	MaxHeadBytes = 64 << 10
	// asyncBodyBytes is the size above which a body is written concurrently with
	// reading the answer, since an upstream may answer before it has read the
	// whole body.
	asyncBodyBytes = 16 << 10
)

// Config holds the dependencies of a Pool.
type Config struct {
	Clock clock.Clock
	// AnswerID returns the ID of the request that an answer names, empty if it names none.
	// nil: answers name no requests, and each one is taken as that to the request before it.
	AnswerID func(http.Header) string
}

// Pool holds idle connections by upstream address.
type Pool struct {
	cfg    Config
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[string][]*conn
	// dialed counts the connections opened so far.
	dialed atomic.Uint64
}

type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// limit bounds what reader reads.
	limit *limitedReader
	// expires is the time until which the connection may be reused.
	expires time.Time
	// number identifies the connection in logs.
	number uint64
	// carried holds the requests that were sent on the connection, if answers name them.
	carried history
}

// New returns an empty pool.
func New(cfg Config) *Pool {
	return &Pool{cfg: cfg, dialer: Dialer(connectTimeout), idle: make(map[string][]*conn)}
}

// Dialer returns a dialer whose connections fail when the peer stops
// acknowledging data or answering keep-alive probes.
func Dialer(timeout time.Duration) net.Dialer {
	return net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error { return setAckTimeout(c) },
	}
}

func setAckTimeout(c syscall.RawConn) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}

// Do sends the request and returns the answer as soon as its head has been read.
// The caller must close the answer. Errors are of type *Error.
func (p *Pool) Do(ctx context.Context, address string, r *Request) (*Answer, error) {
	c, dialed, err := p.get(ctx, address, r)
	if err != nil {
		return nil, &Error{Step: stepConnect, Peer: address, Err: err}
	}
	if r.Admit != nil && !r.Admit() {
		p.putBack(c, r.MaxIdle)
		return nil, &Error{Step: stepAdmit, Peer: address, Err: ErrWithheld}
	}
	a := &Answer{
		pool: p, conn: c, dialed: dialed, method: r.Method, id: r.ID, maxIdle: r.MaxIdle, hold: r.Hold,
		connection: Connection{Number: c.number, Exchanges: c.carried.len()},
	}
	if p.cfg.AnswerID != nil {
		c.carried.add(r.ID)
	}
	// A deadline in the past interrupts pending reads and writes.
	a.stop = context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	if err := a.exchange(r); err != nil {
		a.discard()
		return nil, err
	}
	return a, nil
}

// get returns a usable idle connection for a request, or a new one; dialed is set for that.
func (p *Pool) get(ctx context.Context, address string, r *Request) (c *conn, dialed bool, err error) {
	for {
		c = p.popIdle(address, r)
		if c == nil {
			c, err = p.dial(ctx, address)
			return c, true, err
		}
		if p.cfg.Clock.Now().Before(c.expires) && isUsable(c.Conn) {
			return c, false, nil
		}
		_ = c.Close()
	}
}

// popIdle takes an idle connection on which the answer to a request can be told from a copy of
// any earlier one. It returns nil if there is none.
func (p *Pool) popIdle(address string, r *Request) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i := len(list) - 1; i >= 0; i-- {
		if c := list[i]; p.distinguishes(c, r) {
			p.idle[address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// distinguishes reports whether the answer to a request on a connection can be told from a copy
// of any earlier answer there.
func (p *Pool) distinguishes(c *conn, r *Request) bool {
	return p.cfg.AnswerID == nil || r.ID != "" && !c.carried.contains(r.ID)
}

// mayCarryMore reports whether a connection whose last request had the given ID may carry another
// one: a copy of the answer to a request without an ID could not be told from an answer.
func (p *Pool) mayCarryMore(c *conn, lastID string) bool {
	return p.cfg.AnswerID == nil || lastID != "" && !c.carried.isFull()
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	nc, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	limit := &limitedReader{reader: nc}
	return &conn{
		Conn: nc, address: address, reader: bufio.NewReader(limit), limit: limit,
		expires: p.cfg.Clock.Now().Add(defaultIdleTimeout), number: p.dialed.Add(1),
	}, nil
}

// put returns a connection to the pool, for at most idle, or closes it if there are
// maxIdle for the upstream already; 0 means no such bound.
func (p *Pool) put(c *conn, idle time.Duration, maxIdle int) {
	c.expires = p.cfg.Clock.Now().Add(idle)
	p.putBack(c, maxIdle)
}

// putBack returns a connection to the pool that has not been used since it was opened or taken
// from it.
func (p *Pool) putBack(c *conn, maxIdle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if maxIdle > 0 && len(p.idle[c.address]) >= maxIdle {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Probe opens a connection to an address and closes it.
func (p *Pool) Probe(ctx context.Context, address string) error {
	c, err := p.dial(ctx, address)
	if err != nil {
		return &Error{Step: stepConnect, Peer: address, Err: err}
	}
	return c.Close()
}

// CloseIdle closes all idle connections.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
	clear(p.idle)
}

// CloseExpired closes the idle connections that have expired.
func (p *Pool) CloseExpired() {
	now := p.cfg.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		remaining := list[:0]
		for _, c := range list {
			if now.Before(c.expires) {
				remaining = append(remaining, c)
				continue
			}
			_ = c.Close()
		}
		if len(remaining) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = remaining
	}
}

// isUsable reports whether an idle connection is open and has no unread bytes.
func isUsable(nc net.Conn) bool {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peekErr = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	})
	return err == nil && errors.Is(peekErr, unix.EAGAIN)
}

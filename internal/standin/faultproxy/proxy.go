// Package faultproxy is a stand-in for a network: a TCP proxy on loopback that slows, drops or
// resets what passes through it, for open connections or for all.
//
// # Usage
//
//	p := faultproxy.New(target)
//	defer p.Close()
//	dial(p.Address())
//	p.SilenceOpen()
package faultproxy

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Fault is a network fault that a proxy injects.
type Fault string

// Faults.
const (
	None Fault = ""
	// Slow delays all bytes.
	Slow Fault = "slow"
	// Silent drops all bytes in both directions and keeps connections open.
	Silent Fault = "silent"
	// OneWay drops the bytes sent back to the client.
	OneWay Fault = "one way"
)

// delay is the delay that Slow adds per read.
const delay = 60 * time.Millisecond

// Proxy forwards connections to a target. A change of its fault applies to open
// connections as well.
type Proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	fault Fault
	links map[*link]bool
}

// link is a connection through the proxy.
type link struct {
	client, server net.Conn
	// silent is set once the link drops all bytes for good.
	silent atomic.Bool
}

// New returns a proxy that listens on loopback and forwards to target.
func New(target string) *Proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	p := &Proxy{target: target, listener: l, links: make(map[*link]bool)}
	go p.accept()
	return p
}

// Address returns the address at which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetFault replaces the fault.
func (p *Proxy) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

// Fault returns the current fault.
func (p *Proxy) Fault() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// SilenceOpen drops all further bytes of the connections that are open now, in both
// directions and without a reset. New connections work.
func (p *Proxy) SilenceOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.silent.Store(true)
	}
}

// ResetOpen resets all open connections.
func (p *Proxy) ResetOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		resetOnClose(l.client)
		resetOnClose(l.server)
	}
	for l := range p.links {
		l.close()
	}
}

// resetOnClose makes the close of a connection reset it.
func resetOnClose(conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0) }

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.ResetOpen()
}

func (p *Proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		l := &link{client: in, server: out}
		p.mu.Lock()
		p.links[l] = true
		p.mu.Unlock()
		go p.forward(l, l.server, l.client, false)
		go p.forward(l, l.client, l.server, true)
	}
}

func (l *link) close() {
	_ = l.client.Close()
	_ = l.server.Close()
}

// forward copies bytes until either side closes. As over TCP, nothing follows
// bytes that were lost, neither other bytes nor an orderly close, which would look
// like the end of an answer: the connection is reset instead, as it is if the other
// side was reset. The close of one side of a silent link does not reach the other.
func (p *Proxy) forward(l *link, to, from net.Conn, toClient bool) {
	defer func() {
		if l.silent.Load() {
			_ = from.Close()
			return
		}
		l.close()
		p.mu.Lock()
		delete(p.links, l)
		p.mu.Unlock()
	}()
	buffer := make([]byte, 16<<10)
	lost := false
	for {
		n, err := from.Read(buffer)
		drop := l.silent.Load() || p.drops(toClient)
		switch {
		case err != nil && (err != io.EOF || lost || drop), err == nil && lost && !drop:
			if !l.silent.Load() {
				resetOnClose(to)
			}
			return
		case err != nil:
			return
		case drop:
			lost = true
			continue
		case p.Fault() == Slow:
			time.Sleep(delay)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// drops reports whether the fault drops the bytes of a direction.
func (p *Proxy) drops(toClient bool) bool {
	f := p.Fault()
	return f == Silent || f == OneWay && toClient
}

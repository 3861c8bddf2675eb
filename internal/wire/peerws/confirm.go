package peerws

import (
	"context"
	"time"

	"github.com/coder/websocket"
)

const (
	// minConfirmInterval is the minimum interval between two pings on a connection.
	// confirmIntervalPerLink times the number of links is the interval if that is longer, so that
	// pings to many peers do not outnumber the messages.
	minConfirmInterval     = 750 * time.Millisecond
	confirmIntervalPerLink = 25 * time.Millisecond
	// confirmTimeout bounds the time until the peer answers a ping.
	confirmTimeout = time.Second
)

// confirmation checks that what is written on a connection arrives: a connection may go
// silent for good without an error, and writes succeed until buffers are full. The peer
// answers a ping when it has read what was written before it. Nothing is sent on a
// connection without messages.
type confirmation struct {
	conn *websocket.Conn
	// interval returns the minimum interval between two pings.
	interval func() time.Duration
	// due fires when the next ping is due.
	due *time.Timer
	// result receives the result of the ping that is under way.
	result chan error
	// scheduled is set while a ping is due or under way, unconfirmed if messages were
	// written since the latest ping.
	scheduled, unconfirmed bool
	lastPing               time.Time
}

func newConfirmation(conn *websocket.Conn, interval func() time.Duration) *confirmation {
	due := time.NewTimer(0)
	<-due.C
	return &confirmation{conn: conn, interval: interval, due: due, result: make(chan error, 1)}
}

// written notes that messages were written.
func (c *confirmation) written() {
	c.unconfirmed = true
	c.schedule()
}

func (c *confirmation) schedule() {
	if c.scheduled || !c.unconfirmed {
		return
	}
	c.scheduled = true
	c.due.Reset(time.Until(c.lastPing.Add(c.interval())))
}

// ping starts the ping that is due.
func (c *confirmation) ping(ctx context.Context) {
	c.unconfirmed = false
	c.lastPing = time.Now()
	go func() {
		ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
		defer cancel()
		c.result <- c.conn.Ping(ctx)
	}()
}

// answered notes that the peer has answered the ping.
func (c *confirmation) answered() {
	c.scheduled = false
	c.schedule()
}

func (c *confirmation) stop() { c.due.Stop() }

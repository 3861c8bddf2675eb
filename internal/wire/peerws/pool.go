package peerws

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"

	"monsoonlanding/internal/core/peer"
)

const (
	// Path is the path at which nodes accept connections from peers.
	Path = "/peer"
	// dialTimeout bounds the time to connect and to send the first frame.
	dialTimeout = time.Second
	// writeTimeout bounds the write of one frame to a peer that does not read.
	writeTimeout = 2 * time.Second
	// flushPollInterval is the interval at which Flush checks the queues.
	flushPollInterval = 5 * time.Millisecond
	// idleTimeout is the time without messages after which a connection is closed.
	idleTimeout = 2 * time.Minute
	// maxFrameBytes bounds a frame. It leaves room for the copy of a long request.
	maxFrameBytes = 8 << 20
)

// hello is the first frame of a connection. If To is empty, any receiver accepts
// the connection.
type hello struct {
	From peer.Member `cbor:"1,keyasint"`
	To   string      `cbor:"2,keyasint"`
}

// Config holds the settings and dependencies of a Pool.
type Config struct {
	Self peer.Member
	// Token authenticates nodes to each other.
	Token string
	Codec *Codec
	// OnFailure is called when a connection to a node has failed; messages to the
	// node may have been lost.
	OnFailure func(id string)
	// OnUnreachable is called when no connection to a node could be opened.
	OnUnreachable func(id string)
	// OnSend is called with the size of each frame before it is written.
	OnSend func(bytes int)
	Log    zerolog.Logger
}

// Pool manages the connections to peers.
type Pool struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	group  conc.WaitGroup
	mu     sync.Mutex
	links  map[string]*link
}

// link is a connection to a peer, with its queue of messages.
type link struct {
	// key is the link's key in Pool.links.
	key     string
	id      string
	address string
	queue   *queue
}

// New returns an empty pool.
func New(cfg Config) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{cfg: cfg, ctx: ctx, cancel: cancel, links: make(map[string]*link)}
}

// Close ends all connections.
func (p *Pool) Close() {
	p.cancel()
	p.group.Wait()
}

// Flush waits until no message is queued or ctx ends. A message that has just
// left its queue may not be written yet.
func (p *Pool) Flush(ctx context.Context) {
	for p.hasQueued() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(flushPollInterval):
		}
	}
}

func (p *Pool) hasQueued() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		if !l.queue.isEmpty() {
			return true
		}
	}
	return false
}

// Send queues a message for a node. The message is dropped if the queue is full.
// If the connection fails, messages may be lost and the pool calls Config.OnFailure. With an empty id, any node that listens at the address
// receives the message.
func (p *Pool) Send(id, address string, m peer.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return
	}
	key := id + "@" + address
	l := p.links[key]
	if l == nil {
		l = &link{key: key, id: id, address: address, queue: newQueue()}
		p.links[key] = l
		p.group.Go(func() { p.run(l) })
	}
	if !l.queue.add(m) {
		p.cfg.Log.Warn().Str("step", "peer").Str("peer", id).Msg("queue is full, message dropped")
	}
}

// run serves a link until its connection ends, and removes it. A panic, as a message that
// can't be encoded may cause it, ends the connection like an error.
func (p *Pool) run(l *link) {
	if caught := panics.Try(func() { p.serve(l) }); caught != nil {
		p.reportFailure(l, caught.AsError())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l.key)
}

// serve keeps a link connected. A connection that fails after it has worked is replaced at
// once: if it failed alone, the peer gets the messages that are still queued, otherwise the
// peer is known to be unreachable.
func (p *Pool) serve(l *link) {
	for {
		conn, err := p.dial(l)
		if err != nil {
			p.reportFailure(l, err)
			if p.ctx.Err() == nil {
				p.cfg.OnUnreachable(l.id)
			}
			return
		}
		confirmed, err := p.serveConn(l, conn)
		if err == nil {
			return
		}
		p.reportFailure(l, err)
		if !confirmed || p.ctx.Err() != nil {
			return
		}
	}
}

// confirmInterval returns the interval at which the messages on a connection are confirmed.
func (p *Pool) confirmInterval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(minConfirmInterval, time.Duration(len(p.links))*confirmIntervalPerLink)
}

func (p *Pool) reportFailure(l *link, err error) {
	if p.ctx.Err() != nil {
		return
	}
	p.cfg.Log.Debug().Str("step", "peer").Str("peer", l.id).Err(err).Msg("connection failed")
	p.cfg.OnFailure(l.id)
}

// serveConn sends the peer the queued messages. It returns nil after idleTimeout without a
// message, and an error if the connection fails or the peer does not confirm that it receives
// them. confirmed is set if the peer has confirmed any.
func (p *Pool) serveConn(l *link, conn *websocket.Conn) (confirmed bool, err error) {
	defer func() { _ = conn.CloseNow() }()
	// Peers send nothing on this connection; reading detects its end and answers to pings.
	ctx := conn.CloseRead(p.ctx)
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	confirm := newConfirmation(conn, p.confirmInterval)
	defer confirm.stop()
	for {
		select {
		case <-l.queue.added:
			if err := p.writeQueued(ctx, conn, l.queue); err != nil {
				return confirmed, errors.Wrapf(err, "send to %s", l.id)
			}
			idle.Reset(idleTimeout)
			confirm.written()
		case <-confirm.due.C:
			confirm.ping(ctx)
		case err := <-confirm.result:
			if err != nil {
				return confirmed, errors.Wrapf(err, "confirm messages to %s", l.id)
			}
			confirmed = true
			confirm.answered()
		case <-idle.C:
			return confirmed, nil
		case <-ctx.Done():
			return confirmed, errors.Errorf("connection to %s ended", l.id)
		}
	}
}

// writeQueued writes the queued messages in order.
func (p *Pool) writeQueued(ctx context.Context, conn *websocket.Conn, q *queue) error {
	for m, ok := q.next(); ok; m, ok = q.next() {
		if err := p.write(ctx, conn, m); err != nil {
			return err
		}
	}
	return nil
}

func (p *Pool) dial(l *link) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(p.ctx, dialTimeout)
	defer cancel()
	header := http.Header{"Authorization": []string{"Bearer " + p.cfg.Token}}
	conn, _, err := websocket.Dial(ctx, "ws://"+l.address+Path, &websocket.DialOptions{HTTPHeader: header})
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s at %s", l.id, l.address)
	}
	first, err := cbor.Marshal(hello{From: p.cfg.Self, To: l.id})
	if err != nil {
		return nil, errors.Wrap(err, "encode hello")
	}
	if err := conn.Write(ctx, websocket.MessageBinary, first); err != nil {
		return nil, errors.Wrapf(err, "send hello to %s", l.id)
	}
	return conn, nil
}

func (p *Pool) write(ctx context.Context, conn *websocket.Conn, m peer.Message) error {
	frame, err := p.cfg.Codec.Encode(m)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	p.cfg.OnSend(len(frame))
	return conn.Write(ctx, websocket.MessageBinary, frame)
}

package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"monsoonlanding/internal/core/node"
	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/run/clock"
	"monsoonlanding/internal/run/settings"
	"monsoonlanding/internal/wire/cloudhttp"
	"monsoonlanding/internal/wire/http1"
	"monsoonlanding/internal/wire/objecthttp"
	"monsoonlanding/internal/wire/operatorhttp"
	"monsoonlanding/internal/wire/peerws"
	"monsoonlanding/internal/wire/upstreamhttp"
)

const (
	// minTickInterval is the minimum interval between two ticks.
	minTickInterval = time.Millisecond
	// eventQueueSize bounds the number of events that wait for the reducer.
	eventQueueSize = 8192
	// platformTimeout bounds one call to the platform's object or cloud API, and
	// the time that a peer or operator takes for a request's header.
	platformTimeout = 2 * time.Second
	// watchTimeout bounds a watch, which the platform holds open. It exceeds the
	// duration of the watch that objecthttp requests.
	watchTimeout = 30 * time.Second
	// loadTimeout bounds one request for an upstream's load report.
	loadTimeout = time.Second
	// noticePollInterval is the interval between two polls for this VM's reclaim
	// notice.
	noticePollInterval = time.Second
	// rulesTimeout bounds the wait of a new node for rules before it registers.
	rulesTimeout = 2 * time.Second
	// rulesPollInterval is the interval between two checks for rules.
	rulesPollInterval = 10 * time.Millisecond
	// registerInterval is the minimum interval between two reads of the list of
	// nodes. Jitter extends it to twice that at most.
	registerInterval = 30 * time.Second
	// registerRetryInterval replaces registerInterval after a failure.
	registerRetryInterval = 500 * time.Millisecond
	// closeTimeout bounds the time that a drained node takes to close its callers'
	// connections and to send its queued messages.
	closeTimeout = 2 * time.Second
	// memberPathPrefix is the prefix of the paths of the nodes' records.
	memberPathPrefix = "nodes/"
)

// Config configures a Runner.
type Config struct {
	Settings settings.Settings
	Clock    clock.Clock
	Log      zerolog.Logger
	// Observe, which may be nil, is called with each event before it is reduced.
	Observe func(now time.Time, e node.Event)
	// PeerDelay delays each message from a peer, to simulate network latency in
	// measurements.
	PeerDelay time.Duration
}

// Runner runs one node.
type Runner struct {
	cfg    Config
	self   peer.Member
	node   *node.Node
	events chan node.Event
	// queries are the functions that inspect passes to the reducer's goroutine.
	queries chan func(*node.Node)
	group   conc.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc
	log     zerolog.Logger

	peers     *peerws.Pool
	objects   *objecthttp.Client
	cloud     *cloudhttp.Client
	upstreams *upstreamhttp.Client
	servers   []*http.Server
	listeners []net.Listener
	intake    intake

	conns          *connections
	attempts       attempts
	pendingApplies pendingApplies
}

// New creates a runner that listens on the node's addresses. Run starts its
// work.
func New(cfg Config) (*Runner, error) {
	s := cfg.Settings
	self := peer.Member{
		// The suffix distinguishes the successive processes on a VM.
		ID:            s.Name + "~" + uuid.NewString()[:8],
		PeerAddress:   s.Listen.Peer,
		CallerAddress: s.Listen.Caller,
		Zone:          s.Zone,
		Region:        s.Region,
		State:         peer.Alive,
	}
	r := &Runner{
		cfg:     cfg,
		events:  make(chan node.Event, eventQueueSize),
		queries: make(chan func(*node.Node)),
		log:     cfg.Log.With().Str("node", s.Name).Logger(),
		intake:  newIntake(s.Limits),
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.attempts.cancel = make(map[uint64]context.CancelFunc)
	r.pendingApplies.waiting = make(map[uint64]chan operatorhttp.ApplyResult)
	r.conns = newConnections(r.submit)
	if err := r.listen(&self); err != nil {
		r.cancel()
		return nil, err
	}
	r.self = self
	r.node = node.New(r.nodeConfig())
	if err := r.setUp(); err != nil {
		r.cancel()
		return nil, err
	}
	return r, nil
}

func (r *Runner) nodeConfig() node.Config {
	s := r.cfg.Settings
	c := node.DefaultConfig(r.self, rand.Uint64())
	c.Alone = s.Alone
	c.MemoryBytes = s.Limits.MemoryBytes
	c.Retention = s.Limits.Retention.Duration
	c.ProgressTokens = s.Limits.ProgressTokens
	c.QueueCount = s.Limits.QueueCount
	c.QueueBytes = s.Limits.QueueBytes
	c.Seeds = s.Peers.Seeds
	return c
}

// listen opens the three listeners. In the node's record, a port of 0 is
// replaced by the port that the system assigns.
func (r *Runner) listen(self *peer.Member) error {
	s := r.cfg.Settings
	for i, address := range []string{s.Listen.Caller, s.Listen.Peer, s.Listen.Operator} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			for _, open := range r.listeners {
				_ = open.Close()
			}
			return errors.Wrapf(err, "listen on %s", address)
		}
		conns := r.intake.conns
		if i > 0 {
			conns /= otherConnsDivisor
		}
		r.listeners = append(r.listeners, r.intake.bound(l, conns))
	}
	self.CallerAddress = r.listeners[0].Addr().String()
	self.PeerAddress = r.listeners[1].Addr().String()
	return nil
}

// setUp creates the clients and the servers.
func (r *Runner) setUp() error {
	s := r.cfg.Settings
	codec, err := peerws.NewCodec()
	if err != nil {
		return err
	}
	client := &http.Client{Transport: http1.CheckedTransport(newTransport())}
	r.objects = objecthttp.New(s.Platform.Objects, s.Platform.Token, client)
	r.cloud = cloudhttp.New(s.Platform.Cloud, s.Platform.Token, client)
	r.upstreams = upstreamhttp.New(client)
	r.peers = peerws.New(peerws.Config{
		Self: r.self, Token: s.Peers.Token, Codec: codec, Log: r.log,
		OnFailure: func(id string) { r.submit(node.PeerUnreachable{Peer: id}) },
		// PeerUnreachable is submitted for each connection that fails.
		OnUnreachable: func(string) {},
		OnSend:        func(bytes int) { countPeerMessage(bytes) },
	})
	receive := func(from string, m peer.Message) { r.receive(node.PeerReceived{From: from, Message: m}) }
	peerMux := http.NewServeMux()
	peerMux.Handle(peerws.Path, peerws.NewHandler(r.self.ID, s.Peers.Token, codec, receive, r.log))
	r.servers = []*http.Server{
		r.intake.serve(r.callerHandler().Server()),
		r.intake.serve(&http.Server{Handler: peerMux, ReadHeaderTimeout: platformTimeout}),
		r.intake.serve(&http.Server{Handler: r.operatorHandler().Routes(), ReadHeaderTimeout: platformTimeout}),
	}
	return nil
}

// upstreamIdleTimeout bounds the time that an idle connection is kept. It is
// shorter than the idle timeout of upstreams, so that a request is not sent on a
// connection that the upstream has just closed.
const upstreamIdleTimeout = 10 * time.Second

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost:    64,
		IdleConnTimeout:        upstreamIdleTimeout,
		MaxResponseHeaderBytes: http1.MaxHeadBytes,
	}
}

// Addresses returns the addresses on which the node listens for callers, peers
// and operators.
func (r *Runner) Addresses() (callers, peers, operators string) {
	return r.listeners[0].Addr().String(), r.listeners[1].Addr().String(), r.listeners[2].Addr().String()
}

// Self returns the node's own record.
func (r *Runner) Self() peer.Member { return r.self }

// Stop starts a graceful shutdown; Run returns when it is complete.
func (r *Runner) Stop() { r.submit(node.Stop{}) }

// Kill ends the node at once, as a crash would.
func (r *Runner) Kill() { r.cancel() }

// Run runs the node until ctx is done or a graceful shutdown is complete.
func (r *Runner) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, r.cancel)
	defer stop()
	for i, s := range r.servers {
		r.group.Go(func() { _ = s.Serve(r.listeners[i]) })
	}
	r.group.Go(r.register)
	r.group.Go(r.watchNotice)
	r.log.Info().Str("step", "start").Str("callers", r.self.CallerAddress).Str("peers", r.self.PeerAddress).Msg("serving")
	drained := r.loop()
	r.close(drained)
	r.log.Info().Str("step", "stop").Bool("drained", drained).Msg("stopped")
	return nil
}

// loop reduces events until the node is drained or cancelled.
func (r *Runner) loop() (drained bool) {
	tick := r.cfg.Clock.NewTimer(0)
	defer tick.Stop()
	// due is the time that the timer is set to, and zero once it has fired.
	due := r.cfg.Clock.Now()
	for {
		event := node.Event(nil)
		select {
		case event = <-r.events:
		case <-tick.Fired():
			event = node.Tick{}
			due = time.Time{}
		case query := <-r.queries:
			query(r.node)
			continue
		case <-r.ctx.Done():
			return false
		}
		if r.reduce(event) {
			return true
		}
		if next := r.node.NextTick(); due.IsZero() || next.Before(due) {
			due = next
			tick.Reset(max(next.Sub(r.cfg.Clock.Now()), minTickInterval))
		}
	}
}

// reduce passes an event to the reducer and executes the effects.
func (r *Runner) reduce(e node.Event) (drained bool) {
	now := r.cfg.Clock.Now()
	if r.cfg.Observe != nil {
		r.cfg.Observe(now, e)
	}
	for _, effect := range r.node.Reduce(now, e) {
		if _, ok := effect.(node.Drained); ok {
			drained = true
			continue
		}
		r.execute(effect)
	}
	return drained
}

// close stops the node. A drained node is removed from the list of nodes first,
// and has closeTimeout to end its connections.
func (r *Runner) close(drained bool) {
	if drained {
		r.deregister()
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		_ = r.servers[0].Shutdown(ctx)
		r.peers.Flush(ctx)
	}
	r.cancel()
	r.conns.closeAll()
	for _, s := range r.servers {
		_ = s.Close()
	}
	r.peers.Close()
	r.group.Wait()
}

// submit queues an event for the reducer.
func (r *Runner) submit(e node.Event) {
	select {
	case r.events <- e:
	case <-r.ctx.Done():
	}
}

// receive submits a peer's message, after PeerDelay if that is set.
func (r *Runner) receive(e node.PeerReceived) {
	if r.cfg.PeerDelay > 0 {
		time.AfterFunc(r.cfg.PeerDelay, func() { r.submit(e) })
		return
	}
	r.submit(e)
}

// inspect calls f with the node, in the reducer's goroutine between two events,
// and waits until f has returned. Once the runner has been cancelled, f may not
// be called.
func (r *Runner) inspect(f func(*node.Node)) {
	done := make(chan struct{})
	query := func(n *node.Node) {
		f(n)
		close(done)
	}
	select {
	case r.queries <- query:
		<-done
	case <-r.ctx.Done():
	}
}

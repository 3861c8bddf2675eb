package gateway

import (
	"context"
	"expvar"
	"io"
	stdlog "log"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	core "monsoonlanding/internal/core/gateway"
	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/run/clock"
	"monsoonlanding/internal/run/metrics"
	"monsoonlanding/internal/run/settings"
	"monsoonlanding/internal/wire/http1"
	"monsoonlanding/internal/wire/peerws"
)

const (
	// headerTimeout bounds the time to read a request's head.
	headerTimeout = 5 * time.Second
	// idleTimeout bounds the idle time of callers' connections. It is longer
	// than the time for which callers reuse idle connections.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes bounds a request's head.
	maxHeaderBytes = 64 << 10
	// directoryTTL is the duration for which callers may cache addresses.
	directoryTTL = 2 * time.Second
	// idleCheckInterval is the interval between checks for idle connections to
	// upstreams.
	idleCheckInterval = time.Second
	// stopMargin is the part of the grace period reserved for the process to
	// exit.
	stopMargin = 600 * time.Millisecond
	// answerMargin is the time before that in which the last answers are written.
	answerMargin = 300 * time.Millisecond
	// maxStopPart and maxAnswerPart divide the grace period: the margins are at most that part of a
	// short one.
	maxStopPart   = 8
	maxAnswerPart = 32
)

// Config is the configuration of a Runner.
type Config struct {
	Settings settings.Gateway
	Protocol Protocol
	Services Services
	Clock    clock.Clock
	Log      zerolog.Logger
	// LogOutput receives buffered log lines in the format that Log writes.
	LogOutput io.Writer
}

// Runner runs one node.
type Runner struct {
	cfg    Config
	log    zerolog.Logger
	ctx    context.Context
	cancel context.CancelFunc
	// ending is done when a stopping node gives its last answers; endAttempts ends it.
	ending      context.Context
	endAttempts context.CancelFunc
	group       conc.WaitGroup

	// mu guards the fields up to sampler. It is held while an event is reduced
	// and its effects are executed.
	mu       sync.Mutex
	core     *core.Gateway
	handlers map[uint64]*handler
	lastConn uint64
	sampler  sampler
	// drained is closed when a stopping node has no work left.
	drained chan struct{}
	// relists holds the pending requests to list the feeds, by the feed's name.
	relists map[core.FeedName]*relist

	// pool holds the connections to upstreams and those for requests that are passed on to
	// other nodes.
	pool      *http1.Pool
	peers     *peerws.Pool
	servers   []*http.Server
	listeners []net.Listener
	intake    *intake
}

// New returns a Runner that listens on the node's addresses. Run serves them.
func New(cfg Config) (*Runner, error) {
	r, err := newRunner(cfg)
	if err != nil {
		return nil, err
	}
	r.intake.limitHeap()
	if err := r.openServers(); err != nil {
		r.cancel()
		return nil, err
	}
	return r, nil
}

// newRunner returns a runner that does not listen yet.
func newRunner(cfg Config) (*Runner, error) {
	s := cfg.Settings
	start := cfg.Clock.Now().UnixNano()
	r := &Runner{
		cfg:      cfg,
		log:      cfg.Log.With().Str("node", s.Name).Logger(),
		handlers: make(map[uint64]*handler),
		drained:  make(chan struct{}),
		relists:  make(map[core.FeedName]*relist),
		intake:   newIntake(s.Machine, cfg.Log.With().Str("node", s.Name).Logger()),
		pool:     http1.New(http1.Config{Clock: cfg.Clock, AnswerID: cfg.Protocol.AnswerID}),
	}
	for _, f := range cfg.Services.Feeds {
		r.relists[f.Name] = &relist{}
	}
	r.core = core.New(core.Config{
		Node:          s.Name,
		Start:         start,
		Zone:          s.Zone,
		CallerAddress: s.Listen.Caller,
		PeerAddress:   s.Listen.Peer,
		Seeds:         s.Peers.Seeds,
		FirstStart:    s.FirstStart,
		Bounds:        bounds(s),
		Evacuates:     evacuates(s),
		Learning:      s.Placement.Learn,
	}, rand.New(rand.NewPCG(uint64(start), 0)))
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.ending, r.endAttempts = context.WithCancel(context.Background())
	if follow := cfg.Services.FollowGeneration; follow != nil {
		follow(r.storeGeneration, r.invalidGeneration)
	}
	var err error
	r.peers, err = r.newPeers()
	return r, err
}

func (r *Runner) newPeers() (*peerws.Pool, error) {
	s := r.cfg.Settings
	codec, err := peerws.NewCodec()
	if err != nil {
		return nil, err
	}
	return peerws.New(peerws.Config{
		Self:  peer.Member{ID: s.Name, PeerAddress: s.Listen.Peer, Zone: s.Zone},
		Token: s.Peers.Token, Codec: codec, Log: r.log,
		OnFailure:     func(string) {},
		OnUnreachable: func(id string) { r.submit(core.PeerUnreachable{Node: id}) },
		OnSend:        func(int) {},
	}), nil
}

func bounds(s settings.Gateway) core.Bounds {
	return core.Bounds{
		LeaseTerm:    s.Bounds.Lease.Duration,
		UsageWindow:  s.Bounds.UsageWindow.Duration,
		RetryRatio:   s.Bounds.RetryRatio,
		RetrySlack:   s.Bounds.RetrySlack,
		RetryWindow:  s.Bounds.RetryWindow.Duration,
		QuotaWindow:  s.Bounds.QuotaWindow.Duration,
		QuotaOver:    s.Bounds.QuotaOver,
		QuotaSlack:   s.Bounds.QuotaSlack,
		ColdOver:     s.Bounds.ColdOver,
		ColdSlack:    s.Bounds.ColdSlack,
		ReportsUsage: slices.Contains(s.Duties, settings.DutyUsage),
		OrdersFleet:  slices.Contains(s.Duties, settings.DutyFleet),
	}
}

// evacuates reports whether the operators evacuate availability zones. It is decided when the
// process starts.
func evacuates(s settings.Gateway) bool { return s.Bounds.Evacuation.Duration > 0 }

// The places in Runner.servers of those whose answers are completed at the end.
const (
	callerServerIndex = 0
	peerServerIndex   = 3
)

// openServers creates the servers and opens their listeners.
func (r *Runner) openServers() error {
	s := r.cfg.Settings
	codec, err := peerws.NewCodec()
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle(peerws.Path, peerws.NewHandler(s.Name, s.Peers.Token, codec, r.receive, r.log))
	r.servers = []*http.Server{
		r.callerServer(),
		plainServer(r.cfg.Protocol.Directory(r.directory)),
		plainServer(r.cfg.Protocol.Readiness(r.ready)),
		r.peerServer(withoutBody(mux)),
		plainServer(metricsHandler()),
	}
	errorLog := stdlog.New(r.log, "", 0)
	for _, server := range r.servers {
		server.ErrorLog = errorLog
	}
	return r.listen(s.Listen)
}

// callerServer returns the server for callers.
func (r *Runner) callerServer() *http.Server {
	s := &http.Server{Handler: http.HandlerFunc(r.serveCaller)}
	boundServer(s)
	return s
}

// metricsHandler serves the metrics as text and as JSON.
func metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(metrics.Path, metrics.Page())
	mux.Handle("/debug/vars", expvar.Handler())
	return mux
}

// listen opens the listeners in the order of r.servers.
func (r *Runner) listen(at settings.GatewayListen) error {
	for i, address := range []string{at.Caller, at.Directory, at.Ready, at.Peer, at.Metrics} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			r.closeListeners()
			return errors.Wrapf(err, "listen on %s", address)
		}
		r.listeners = append(r.listeners, r.bound(l, i))
	}
	return nil
}

func (r *Runner) closeListeners() {
	for _, l := range r.listeners {
		_ = l.Close()
	}
}

// Run serves until a graceful shutdown is complete or ctx is done.
func (r *Runner) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, r.cancel)
	defer stop()
	for i, s := range r.servers {
		r.group.Go(func() { _ = s.Serve(r.listeners[i]) })
	}
	r.followFeeds()
	r.keepRunning("nodes", r.followNodes)
	r.keepRunning("idle connections", r.closeIdle)
	state.runner.Store(r)
	r.log.Info().Str("step", "start").Str("callers", r.cfg.Settings.Listen.Caller).Str("zone", r.cfg.Settings.Zone).Msg("serving")
	r.tick()
	r.close()
	r.log.Info().Str("step", "stop").Msg("stopped")
	return nil
}

// tick submits a Tick every core.TickInterval until the node is drained.
func (r *Runner) tick() {
	for r.cfg.Clock.Sleep(r.ctx, core.TickInterval) {
		r.submit(core.Tick{})
		select {
		case <-r.drained:
			return
		default:
		}
	}
}

// closeIdle periodically closes idle connections to upstreams.
func (r *Runner) closeIdle() {
	for r.cfg.Clock.Sleep(r.ctx, idleCheckInterval) {
		r.pool.CloseExpired()
	}
}

// Stop starts a graceful shutdown. Run returns when it is complete, at the
// latest shortly before the grace period ends.
func (r *Runner) Stop() {
	grace := r.cfg.Settings.Bounds.Grace.Duration
	end := grace - min(stopMargin, grace/maxStopPart)
	answers := end - min(answerMargin, grace/maxAnswerPart)
	r.submit(core.Stop{Within: answers})
	time.AfterFunc(answers, func() {
		r.submit(core.AnswersDue{})
		r.endAttempts()
	})
	time.AfterFunc(end, r.cancel)
}

// Reload applies changed settings. Listen addresses do not change.
func (r *Runner) Reload(s settings.Gateway) {
	r.submit(core.SettingsChanged{Seeds: s.Peers.Seeds, Bounds: bounds(s), Learning: s.Placement.Learn})
}

// Kill stops the node immediately.
func (r *Runner) Kill() { r.cancel() }

// close closes idle connections immediately and the others when their answer
// is complete, at the latest after half of stopMargin.
func (r *Runner) close() {
	ctx, cancel := context.WithTimeout(context.Background(), stopMargin/2)
	defer cancel()
	for _, s := range []*http.Server{r.servers[callerServerIndex], r.servers[peerServerIndex]} {
		if err := s.Shutdown(ctx); err != nil {
			r.log.Warn().Str("step", "stop").Err(err).Msg("connections closed before their answers were complete")
		}
	}
	r.cancel()
	for _, s := range r.servers {
		_ = s.Close()
	}
	r.peers.Close()
	r.group.Wait()
}

// submit passes an event to the reducer and executes the effects.
func (r *Runner) submit(e core.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reduce(e)
}

func (r *Runner) reduce(e core.Event) {
	for _, effect := range r.reduceGuarded(e) {
		r.execute(effect)
	}
}

// storeGeneration submits a rise of the store's generation.
func (r *Runner) storeGeneration(generation int64) {
	r.submit(core.StoreGeneration{Generation: generation})
}

func (r *Runner) invalidGeneration(err error) {
	r.log.Warn().Str("step", "store").Err(err).Msg("answer of the store is not used")
}

// receive submits a message of a peer. A configuration is decoded first.
func (r *Runner) receive(from string, m peer.Message) {
	update, ok := m.(peer.ConfigUpdate)
	if !ok {
		r.submit(core.PeerReceived{From: from, Message: m})
		return
	}
	config, err := r.cfg.Services.DecodeConfig(update.Body)
	if err != nil {
		r.log.Warn().Str("step", "config").Str("peer", from).Err(err).Msg("configuration of peer not decoded")
		return
	}
	r.submit(core.ConfigRead{Config: config, Body: update.Body, Source: from})
}

func (r *Runner) ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Ready()
}

func (r *Runner) directory(limit int) DirectoryAnswer {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.core.Stopping() {
		return DirectoryAnswer{}
	}
	return DirectoryAnswer{Addresses: r.core.CallerAddresses(limit), TTL: directoryTTL}
}

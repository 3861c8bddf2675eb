package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"monsoonlanding/internal/core/duty"
	"monsoonlanding/internal/core/fleet"
	"monsoonlanding/internal/core/placement"
	"monsoonlanding/internal/core/quota"
	"monsoonlanding/internal/core/route"
)

// TickInterval is the time between two ticks.
const TickInterval = 100 * time.Millisecond

// Config is what a Gateway is made of.
type Config struct {
	// Node is the VM's name; Start tells its processes apart.
	Node  string
	Start int64
	Zone  string
	// CallerAddress and PeerAddress are the node's own, as IP:port.
	CallerAddress string
	PeerAddress   string
	// FirstStart says that the whole system starts for the first time, so that
	// nothing can have been spent or ordered before.
	FirstStart bool
	// Seeds are peer addresses to greet before the list of nodes is known.
	Seeds  []string
	Bounds Bounds
	// Cost ranks the upstreams; nil is placement.LeastTime.
	Cost placement.Cost
}

// Bounds are the limits that the operators set for the deployment.
type Bounds struct {
	// LeaseTerm is how long a holder may act after it renewed the lease.
	LeaseTerm time.Duration
	// UsageWindow is the length of the windows in which usage is reported.
	UsageWindow time.Duration
	// RetryRatio and RetrySlack bound the resends to a service, of all nodes,
	// in each RetryWindow.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// QuotaWindow is the span in which a team may spend its burst and what its
	// rate gives.
	QuotaWindow time.Duration
	// QuotaOver is the part and QuotaSlack the tokens by which the quotas may
	// be exceeded, as nodes hear of each other late.
	QuotaOver  float64
	QuotaSlack float64
	// ReportsUsage and OrdersFleet say which duties the platform has.
	ReportsUsage bool
	OrdersFleet  bool
}

// Gateway is the state of one node.
type Gateway struct {
	cfg     Config
	rng     *rand.Rand
	now     time.Time
	effects []Effect

	table     *route.Table
	body      []byte
	upstreams *placement.Set
	// listed says that the list of upstreams has been read once.
	listed bool
	// rolloutsRead says that the roll-outs have been read once.
	rolloutsRead bool
	// covered is the store's revision up to which the upstreams are known,
	// changed that of the latest change among them.
	covered, changed int64
	// behindAt is when a peer first told of a change that is not covered.
	behindAt  time.Time
	storeDown bool
	storeBack time.Time
	// missing holds the upstreams whose entries are missing for the moment.
	missing map[string]bool
	// leaving holds when an upstream was first seen to leave.
	leaving map[string]time.Time

	requests map[uint64]*request
	queues   map[string]*serviceQueue
	budgets  map[string]*resendBudget
	suspects suspects
	goals    goals

	members map[string]*member
	wanted  time.Time
	quotas  map[string]*teamQuota
	keeper  *duty.Keeper
	usage   usage
	fleets  map[string]*fleet.Planner
	// rollouts holds the roll-outs by service.
	rollouts map[string]*rolloutState
	// usual holds the usual times to the beginning of answers, by route.
	usual map[string]*usual
	work  map[string]*workMeter

	started time.Time
	// urgentAt is when a status is due to all peers at once, zero if none is.
	urgentAt  time.Time
	greetAt   time.Time
	sweepAt   time.Time
	stopping  bool
	stoppedAt time.Time
	drained   bool
}

// New returns a node that knows nothing yet.
func New(cfg Config, rng *rand.Rand) *Gateway {
	if cfg.Cost == nil {
		cfg.Cost = placement.LeastTime
	}
	return &Gateway{
		cfg:       cfg,
		rng:       rng,
		table:     &route.Table{},
		upstreams: placement.New(cfg.Node, cfg.Zone, cfg.Cost, rng),
		missing:   make(map[string]bool),
		leaving:   make(map[string]time.Time),
		requests:  make(map[uint64]*request),
		queues:    make(map[string]*serviceQueue),
		budgets:   make(map[string]*resendBudget),
		suspects:  newSuspects(),
		goals:     make(goals),
		members:   make(map[string]*member),
		quotas:    make(map[string]*teamQuota),
		keeper:    duty.New(cfg.Node, cfg.Start, cfg.Bounds.LeaseTerm),
		usage:     newUsage(cfg.Bounds.UsageWindow),
		fleets:    make(map[string]*fleet.Planner),
		rollouts:  make(map[string]*rolloutState),
		usual:     make(map[string]*usual),
		work:      make(map[string]*workMeter),
	}
}

// teamQuota is a team's quota with what this node has spent of it.
type teamQuota struct {
	bucket *quota.Bucket
	spent  float64
	// told is the part of spent that all peers have been told.
	told float64
	// asked is the cost of the team's requests of late, as of askedAt.
	asked   float64
	askedAt time.Time
}

// Reduce takes an event in and returns what is to be done.
func (g *Gateway) Reduce(now time.Time, e Event) []Effect {
	g.now = now
	g.effects = nil
	if g.started.IsZero() {
		g.started = now
	}
	switch e := e.(type) {
	case Tick:
		g.tick()
	case Arrived:
		g.arrived(e)
	case Began:
		g.began(e)
	case Ended:
		g.ended(e)
	case Moved:
		g.moved(e)
	case Expired:
		g.expired(e)
	case Left:
		g.left(e)
	case PeerReceived:
		g.peerReceived(e)
	case Stop:
		g.stop()
	default:
		g.reducePlatform(e)
	}
	return g.effects
}

// reducePlatform takes in what the platform's store and API say.
func (g *Gateway) reducePlatform(e Event) {
	switch e := e.(type) {
	case ConfigRead:
		g.configRead(e)
	case UpstreamsListed:
		g.upstreamsListed(e)
	case UpstreamsChanged:
		g.upstreamsChanged(e)
	case SettingsChanged:
		g.settingsChanged(e)
	case StoreLost:
		g.storeLost()
	case StoreBack:
		g.storeReturned()
	case NodesListed:
		g.nodesListed(e)
	case LeaseRead:
		g.keeper.Read(g.now, e.Result, e.Stored)
	case LeaseWritten:
		g.leaseWritten(e)
	case UsageReported:
		g.usageReported(e)
	case FleetOrdered:
		g.fleetOrdered(e)
	case RolloutsChanged:
		g.rolloutsChanged(e)
	case RolloutWritten:
		g.rolloutWritten(e)
	}
}

func (g *Gateway) settingsChanged(e SettingsChanged) {
	if slices.Equal(g.cfg.Seeds, e.Seeds) && g.cfg.Bounds == e.Bounds {
		return
	}
	g.cfg.Seeds = e.Seeds
	g.cfg.Bounds = e.Bounds
	g.log("settings", "settings reloaded", "seeds", len(e.Seeds))
}

func (g *Gateway) emit(e Effect) { g.effects = append(g.effects, e) }

func (g *Gateway) count(counter Counter, label string) {
	g.emit(Count{Counter: counter, Label: label})
}

// observe counts the time since the request's arrival.
func (g *Gateway) observe(timing Timing, r *request) {
	g.emit(Observe{Timing: timing, Route: r.route.Name, Took: g.now.Sub(r.arrived)})
}

func (g *Gateway) log(step, message string, inputs ...any) {
	g.emit(Log{Step: step, Message: message, Inputs: inputs})
}

// sweepInterval is the time between two removals of what is no longer needed.
const sweepInterval = 5 * time.Second

func (g *Gateway) tick() {
	g.dropMissing()
	g.refuseOverdue()
	g.serveQueues()
	g.attendRollouts()
	g.tellPeers()
	g.attendDuties()
	g.checkDrained()
	if g.now.Before(g.sweepAt) {
		return
	}
	g.sweepAt = g.now.Add(sweepInterval)
	g.upstreams.Sweep(g.now)
	g.suspects.sweep(g.now)
}

// Ready reports whether the node takes new callers.
func (g *Gateway) Ready() bool {
	return g.table.Version() > 0 && g.listed && g.rolloutsRead && !g.stopping
}

// Stopping reports whether the node is shutting down.
func (g *Gateway) Stopping() bool { return g.stopping }

// Limits returns what callers may send.
func (g *Gateway) Limits() route.Limits { return g.table.Limits() }

// refusalDelay is how long after a request to stop new requests are still
// served: callers keep addresses for a few seconds.
const refusalDelay = 3 * time.Second

func (g *Gateway) stop() {
	if g.stopping {
		return
	}
	g.stopping = true
	g.stoppedAt = g.now
	g.log("stop", "stopping", "requests", len(g.requests))
	g.tellSoon(0)
	g.tellPeers()
}

// refusing reports whether a stopping node turns new requests away.
func (g *Gateway) refusing() bool {
	return g.stopping && g.now.Sub(g.stoppedAt) > refusalDelay
}

func (g *Gateway) checkDrained() {
	if !g.refusing() || g.drained || len(g.requests) > 0 || g.keeper.Busy() {
		return
	}
	if step, ok := g.keeper.Release(g.now); ok {
		g.leaseStep(step)
		return
	}
	g.drained = true
	g.emit(Drained{})
}

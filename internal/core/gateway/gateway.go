package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"monsoonlanding/internal/core/average"
	"monsoonlanding/internal/core/evacuation"
	"monsoonlanding/internal/core/fleet"
	"monsoonlanding/internal/core/leader"
	"monsoonlanding/internal/core/placement"
	"monsoonlanding/internal/core/quarantine"
	"monsoonlanding/internal/core/quota"
	"monsoonlanding/internal/core/route"
	"monsoonlanding/internal/core/store"
)

// TickInterval is the interval between two Tick events.
const TickInterval = 100 * time.Millisecond

// Config configures a Gateway.
type Config struct {
	// Node is the VM's name. Start distinguishes the successive processes on
	// the VM.
	Node  string
	Start int64
	Zone  string
	// CallerAddress and PeerAddress are this node's addresses, as IP:port.
	CallerAddress string
	PeerAddress   string
	// FirstStart is set when the whole system starts for the first time, so
	// that no earlier process can have spent quota or ordered upstreams.
	FirstStart bool
	// Seeds are the peer addresses to contact before the list of nodes is
	// known.
	Seeds  []string
	Bounds Bounds
	// Evacuates is set if the deployment's operators evacuate availability zones: the process
	// sends nothing before it has read which ones.
	Evacuates bool
	// Cost ranks the upstreams; nil means placement.LeastTime.
	Cost placement.Cost
	// Learning selects the services of which it is learned how much work each upstream takes
	// well; empty means placement.LearnOff.
	Learning placement.Learning
}

// Bounds are the limits that the operators set for the deployment.
type Bounds struct {
	// LeaseTerm is the duration for which a lease holder may act after renewing
	// the lease.
	LeaseTerm time.Duration
	// UsageWindow is the length of the windows for which usage is reported.
	UsageWindow time.Duration
	// The retries to a service per RetryWindow, of all nodes together, are at
	// most RetryRatio times the requests plus RetrySlack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// QuotaWindow is the duration in which a team may spend its burst plus the
	// units that its rate grants.
	QuotaWindow time.Duration
	// QuotaOver is the fraction and QuotaSlack the number of tokens by which
	// quotas may be exceeded, because nodes learn of each other's spending with a
	// delay.
	QuotaOver  float64
	QuotaSlack float64
	// A cold upstream may get ColdOver times the requests a second that it tolerates, plus
	// ColdSlack, from all nodes together.
	ColdOver  float64
	ColdSlack float64
	// ReportsUsage and OrdersFleet select the lease holder's duties that the
	// platform supports.
	ReportsUsage bool
	OrdersFleet  bool
}

// Gateway is the state of one node.
type Gateway struct {
	cfg     Config
	rng     *rand.Rand
	now     time.Time
	effects []Effect

	table      *route.Table
	configBody []byte
	upstreams  *placement.Set
	// upstreamsRead is set once the list of upstreams has been read.
	upstreamsRead bool
	// upstreamsCurrentAt is when the list was last known to be current, by the store or by peers.
	upstreamsCurrentAt time.Time
	// rolloutsRead is set once the rollouts have been read.
	rolloutsRead bool
	// knownRevision is the revision of the store up to which the upstreams are
	// known; changedRevision is that of the latest change among them.
	knownRevision, changedRevision store.Revision
	// storeGeneration is the latest generation of the store that this node or a peer knows.
	storeGeneration int64
	// behindSince is when a peer first reported a change after knownRevision.
	behindSince time.Time
	// storeLostAt is when the latest store outage began.
	storeDown   bool
	storeLostAt time.Time
	// leaseFailures counts the calls for the lease that failed since the latest one that the store
	// answered, the first of them at leaseFailingSince.
	leaseFailures     int
	leaseFailingSince time.Time
	// callFailedAt is when the latest call that only the lease holder makes had no answer.
	callFailedAt time.Time
	// storeRegainedAt is when the latest store outage ended that affected this
	// node and all peers in contact, zero if there was none.
	storeRegainedAt time.Time
	// missing holds the upstreams whose entries are temporarily missing from
	// the store.
	missing map[string]bool
	changes changeLog
	// ahead holds what was applied ahead of a missed change, by upstream.
	ahead map[string]aheadChange
	// relisted is set once the upstreams have been listed again for the sake of those that
	// are missing.
	relisted bool
	// Until restoredEntriesUntil the store's entries may be part of the copy from which it
	// was restored in the generation heldGeneration.
	departed             departures
	restoredEntriesUntil time.Time
	heldGeneration       int64
	// drainingSince holds when each draining upstream was first seen draining.
	drainingSince map[string]time.Time
	// moveLater holds the draining engines whose streams could not be moved because of
	// pauses, theirs or others'.
	moveLater map[string]bool
	// reportsSlowdown holds the services of which an upstream has reported how long work takes.
	reportsSlowdown map[string]bool

	evacuations *evacuation.Register
	// evacuationsDropped is set if a list was dropped since the latest was asked for again;
	// evacuationsRelistAt is the earliest time to do so.
	evacuationsDropped  bool
	evacuationsRelistAt time.Time
	// zoneReturnedAt is when the latest evacuation ended, zero if none has.
	zoneReturnedAt time.Time

	leaves leaves
	paths  paths
	// relaysAt counts the requests that are passed on, by the node that has them.
	relaysAt map[string]int

	requests        map[uint64]*request
	queues          map[string]*serviceQueue
	retryBudgets    map[string]*retryBudget
	quarantine      *quarantine.Register
	quarantineStore quarantineStore
	goals           goals

	members map[string]*member
	// memberOrder holds the members in order of name.
	memberOrder []*member
	roster      roster
	// nodesKnown is set if the latest list of nodes named this node and no unknown one.
	nodesKnown bool
	// forwardTurns holds the latest status to each zone in which statuses are forwarded.
	forwardTurns map[string]forwardTurn
	spread       configSpread
	quotas       map[string]*teamQuota
	lease        *leader.Elector
	usage        usage
	planners     map[string]*fleet.Planner
	// fleetObservedAt is when this node observed the fleets without the lease.
	fleetObservedAt time.Time
	// rollouts holds the rollouts by service.
	rollouts map[string]*rolloutState
	// paces holds the usual times of answers, by route.
	paces map[string]*routePace
	// work averages the engine time of this node's requests, by service.
	work map[string]*serviceWork

	started time.Time
	// statusSeq is the sequence number of the latest status.
	statusSeq uint64
	// broadcastAt is when a status to all peers is due, zero if none is
	// scheduled.
	broadcastAt    time.Time
	contactSeedsAt time.Time
	pruneAt        time.Time
	// logCapacitiesAt is when changes of the upstreams' capacity are looked for next.
	logCapacitiesAt time.Time
	stopping        bool
	stoppingSince   time.Time
	// answersUntil is when all answers of a stopping node must have been given, zero if it is not
	// known.
	answersUntil time.Time
	drained      bool
}

// New returns a Gateway without configuration, upstreams and peers.
func New(cfg Config, rng *rand.Rand) *Gateway {
	if cfg.Cost == nil {
		cfg.Cost = placement.LeastTime
	}
	g := &Gateway{
		cfg:             cfg,
		rng:             rng,
		table:           &route.Table{},
		missing:         make(map[string]bool),
		departed:        make(departures),
		changes:         changeLog{latest: make(map[string]upstreamChange)},
		ahead:           make(map[string]aheadChange),
		relaysAt:        make(map[string]int),
		spread:          configSpread{receivers: make(map[string]time.Time)},
		drainingSince:   make(map[string]time.Time),
		moveLater:       make(map[string]bool),
		evacuations:     evacuation.New(),
		reportsSlowdown: make(map[string]bool),
		leaves:          make(leaves),
		paths:           paths{failed: make(map[string]failedUpstream), reached: make(map[uint64]time.Time)},
		requests:        make(map[uint64]*request),
		queues:          make(map[string]*serviceQueue),
		retryBudgets:    make(map[string]*retryBudget),
		quarantine:      quarantine.New(),
		goals:           make(goals),
		roster:          newRoster(),
		members:         make(map[string]*member),
		forwardTurns:    make(map[string]forwardTurn),
		quotas:          make(map[string]*teamQuota),
		lease:           leader.New(cfg.Node, cfg.Start, cfg.Bounds.LeaseTerm),
		usage:           newUsage(cfg.Bounds.UsageWindow),
		planners:        make(map[string]*fleet.Planner),
		rollouts:        make(map[string]*rolloutState),
		paces:           make(map[string]*routePace),
		work:            make(map[string]*serviceWork),
	}
	g.upstreams = placement.New(cfg.Node, cfg.Zone, cfg.Cost, placement.Shares{Limit: g.limitShare, Slots: g.slotPart, Cold: g.coldShare, LimitsCold: g.limitsCold}, rng)
	g.upstreams.Learn(cfg.Learning)
	return g
}

// teamQuota is a team's quota with this node's spending.
type teamQuota struct {
	name   string
	bucket *quota.Bucket
	// returns schedules the requests refused here.
	returns quota.Returns
	// rate and burst are the team's quota, without a tolerance; tokens is set if they are in tokens.
	rate, burst float64
	tokens      bool
	spent       float64
	// published is the part of spent that has been sent to all peers.
	published float64
	// asked is the cost of all of the team's requests here, refused ones too.
	// requests is their number.
	asked, requests float64
	// demand averages asked by rank.
	demand [quota.RankCount]average.Rate
	// askedLately and admittedLately average what was asked and what of it was admitted.
	askedLately, admittedLately average.Rate
	// latest is what the latest decision was made from.
	latest quota.Admission
}

// Reduce processes an event and returns the effects to execute.
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
	case Paced:
		g.paced(e)
	case Ended:
		g.ended(e)
	case Moved:
		g.moved(e)
	case AnswerDropped:
		g.recordSignals(e.Upstream, e.StartedAt, e.Signals)
	case Expired:
		g.expired(e)
	case HandlerEnded:
		g.handlerEnded(e)
	case PeerReceived:
		g.peerReceived(e)
	case PeerUnreachable:
		g.peerUnreachable(e.Node)
	case Stop:
		g.stop(e)
	case AnswersDue:
		g.endWaiting()
	default:
		g.reducePlatform(e)
	}
	return g.effects
}

// reducePlatform processes an event from the platform's store or API.
func (g *Gateway) reducePlatform(e Event) {
	switch e := e.(type) {
	case ConfigRead:
		g.configRead(e)
	case UpstreamProbed:
		g.upstreamProbed(e)
	case ConfigPacked:
		g.configPacked(e)
	case ConfigInvalid:
		g.configInvalid(e)
	case UpstreamsListed:
		g.upstreamsListed(e)
	case UpstreamsChanged:
		g.upstreamsChanged(e)
	case SettingsChanged:
		g.settingsChanged(e)
	case StoreGeneration:
		g.storeGenerationRead(e.Generation)
	case StoreLost:
		g.storeLost()
	case StoreRegained:
		g.storeRegained()
	case NodesListed:
		g.nodesListed(e)
	case LeaseRead:
		g.leaseRead(e)
	case LeaseWritten:
		g.leaseWritten(e)
	case UsageReported:
		g.usageReported(e)
	case FleetOrdered:
		g.fleetOrdered(e)
	case EvacuationsListed:
		g.evacuationsListed(e)
	case EvacuationsChanged:
		g.evacuationsChanged(e)
	case RolloutsChanged:
		g.rolloutsChanged(e)
	case RolloutWritten:
		g.rolloutWritten(e)
	case QuarantineRead:
		g.quarantineRead(e)
	case QuarantineWritten:
		g.quarantineWritten(e)
	}
}

func (g *Gateway) settingsChanged(e SettingsChanged) {
	if slices.Equal(g.cfg.Seeds, e.Seeds) && g.cfg.Bounds == e.Bounds && g.cfg.Learning == e.Learning {
		return
	}
	g.cfg.Seeds = e.Seeds
	g.cfg.Bounds = e.Bounds
	g.cfg.Learning = e.Learning
	g.upstreams.Learn(e.Learning)
	g.log("settings", "settings reloaded", "seeds", len(e.Seeds))
}

func (g *Gateway) emit(e Effect) { g.effects = append(g.effects, e) }

func (g *Gateway) count(counter Counter, label string) {
	g.emit(Count{Counter: counter, Label: label})
}

// observe records the time since the request's arrival.
func (g *Gateway) observe(timing Timing, r *request) {
	g.emit(Observe{Timing: timing, Route: r.route.Name, Elapsed: g.now.Sub(r.arrived)})
}

func (g *Gateway) log(step, message string, inputs ...any) {
	g.emit(Log{Step: step, Message: message, Inputs: inputs})
}

// Ready reports whether the node accepts new callers.
func (g *Gateway) Ready() bool {
	return g.table.Version() > 0 && g.upstreamsRead && g.rolloutsRead && g.evacuationsKnown() && !g.stopping
}

// Stopping reports whether the node is shutting down.
func (g *Gateway) Stopping() bool { return g.stopping }

// Limits returns the limits on callers' requests.
func (g *Gateway) Limits() route.Limits { return g.table.Limits() }

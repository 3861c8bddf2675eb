package gateway

import (
	"time"

	"monsoonlanding/internal/core/fleet"
	"monsoonlanding/internal/core/leader"
	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/placement"
	"monsoonlanding/internal/core/quarantine"
	"monsoonlanding/internal/core/rollout"
	"monsoonlanding/internal/core/route"
	"monsoonlanding/internal/core/store"
)

// Event is an input to Reduce.
type Event interface{ event() }

// Tick reports that TickInterval has passed.
type Tick struct{}

// Request holds the properties of a caller's request that decisions depend on.
type Request struct {
	// ID identifies the caller's submission of the request.
	ID   string
	Host string
	Path string
	// Key is the caller's API key.
	Key string
	// CallerTimeout is the timeout that the caller sets, 0 if none.
	CallerTimeout time.Duration
	Prompt        placement.Prompt
	// Fingerprint identifies the content, so that a repeated request is
	// recognized.
	Fingerprint uint64
}

// Arrived is a complete request from a caller. Conn identifies it until
// HandlerEnded.
type Arrived struct {
	Conn    uint64
	Request Request
	// Relayed is set if another node has passed the request on.
	Relayed *Relayed
}

// Began reports that the upstream has begun to answer: the first event arrived,
// or the head of an answer without events.
type Began struct {
	Conn    uint64
	Attempt int
	// Signals is what the upstream says of itself in its answer.
	Signals Signals
	// Connect is what became of the attempt's connection.
	Connect Connect
}

// Paced reports the pace of a stream, measured at its first PaceEvents events, or
// at all of them if it has ended with fewer, but at least two.
type Paced struct {
	Conn    uint64
	Attempt int
	// Interval is the mean time between two events.
	Interval time.Duration
}

// Ended reports that an attempt has ended.
type Ended struct {
	Conn    uint64
	Attempt int
	Result  Result
	// Detail is a short description for the log.
	Detail string
	// AnswerSent is set if part of the answer has reached the caller.
	AnswerSent bool
	// CallerFraming is the framing of the answer that has reached the caller.
	CallerFraming Framing
	// Signals is what the upstream says of itself in its answer.
	Signals Signals
	// Connect is what became of the attempt's connection.
	Connect  Connect
	Exchange Exchange
	// RetryAfter is the delay that a node names which refuses a request passed on to it.
	RetryAfter time.Duration
	// Framing is the framing of the upstream's answer, empty without an answer.
	Framing Framing
	// PartialBytes is the size of the incomplete event with which a stream ended.
	PartialBytes int
}

// Moved answers a Move.
type Moved struct {
	Conn    uint64
	Attempt int
	Outcome MoveOutcome
	// Handle identifies the KV cache of the stopped run.
	Handle string
	// Source is the upstream that was called at StartedAt. Answered is set if it has answered,
	// and Signals is what it says of itself in its answer.
	Source    placement.Upstream
	StartedAt time.Time
	Answered  bool
	Signals   Signals
}

// AnswerDropped reports an answer whose head arrived when its caller had left or its time had
// ended: it still tells of its upstream.
type AnswerDropped struct {
	Upstream placement.Upstream
	// StartedAt is when the exchange began.
	StartedAt time.Time
	Signals   Signals
}

// Expired reports that a request's deadline has passed.
type Expired struct {
	Conn uint64
	// AnswerSent is set if part of the answer has reached the caller.
	AnswerSent bool
}

// HandlerEnded reports that a request's handler has ended, because the caller has
// its answer or has disconnected.
type HandlerEnded struct {
	Conn uint64
	// Disconnected is set if the caller closed the connection before its answer
	// was complete.
	Disconnected bool
}

// ConfigRead is a configuration read from the store or a peer.
type ConfigRead struct {
	Config route.Config
	// Body is the encoded configuration as the platform stores it, for peers.
	Body []byte
	// Packed is the compressed body if it was received from a peer, else nil.
	Packed []byte
	// Source is where the configuration was read, for the log.
	Source string
}

// UpstreamProbed answers a ProbeUpstream. Connected is set if a connection was opened.
type UpstreamProbed struct {
	Upstream  string
	Connected bool
}

// ConfigPacked answers a PackConfig.
type ConfigPacked struct {
	Version int64
	Packed  []byte
}

// ConfigInvalid answers an UnpackConfig of a configuration that can't be decoded.
type ConfigInvalid struct {
	Version int64
	Node    string
	Size    int
	Problem string
}

// UpstreamsListed is the platform's complete list of upstreams at a revision of
// the store.
type UpstreamsListed struct {
	List     []placement.Upstream
	Revision store.Revision
}

// UpstreamsChanged reports the entries of the list that were put or removed up
// to a revision of the store.
type UpstreamsChanged struct {
	Put      []placement.Upstream
	Removed  []string
	Revision store.Revision
}

// EvacuationsListed is the complete list of the availability zones that the operator has
// evacuated, at a revision of the store.
type EvacuationsListed struct {
	Zones    []string
	Revision store.Revision
}

// EvacuationsChanged has the zones whose evacuations began and ended up to a revision.
type EvacuationsChanged struct {
	Put, Removed []string
	Revision     store.Revision
}

// RolloutsChanged reports the rollouts that were ordered, changed or removed.
type RolloutsChanged struct {
	Orders []rollout.Order
	// Removed lists the services whose rollouts were removed.
	Removed []string
}

// RolloutWritten answers a WriteRollout. Done is set if the state was written;
// Order then has the new revision.
type RolloutWritten struct {
	Order rollout.Order
	Done  bool
}

// SettingsChanged carries reloaded settings.
type SettingsChanged struct {
	Seeds    []string
	Bounds   Bounds
	Learning placement.Learning
}

// StoreGeneration reports that the store's answers name a later generation than before.
// It comes before the results of the calls with these answers.
type StoreGeneration struct{ Generation int64 }

// StoreLost reports that the store does not answer.
type StoreLost struct{}

// StoreRegained reports that the store answers again.
type StoreRegained struct{}

// NodesListed is the platform's list of nodes.
type NodesListed struct{ Nodes []NodeEntry }

// NodeEntry is a node's registration.
type NodeEntry struct {
	Node        string
	PeerAddress string
}

// PeerReceived is a message received from another node.
type PeerReceived struct {
	From    string
	Message peer.Message
}

// PeerUnreachable reports that no connection to a node could be opened.
type PeerUnreachable struct{ Node string }

// LeaseRead answers a ReadLease.
type LeaseRead struct {
	Result leader.Result
	Stored leader.Stored
}

// LeaseWritten answers a WriteLease.
type LeaseWritten struct {
	Result leader.Result
	Stored leader.Stored
}

// UsageReported answers a ReportUsage.
type UsageReported struct {
	Window   int64
	Accepted bool
}

// QuarantineRead answers a ReadQuarantine. Done is set if the store answered.
type QuarantineRead struct {
	Evidence []quarantine.Evidence
	// At is the time to which the ages of the evidence refer.
	At   time.Time
	Done bool
}

// QuarantineWritten answers a WriteQuarantine.
type QuarantineWritten struct{ Done bool }

// FleetOrdered answers an OrderFleet.
type FleetOrdered struct {
	Order   fleet.Order
	Outcome fleet.Outcome
}

// Stop requests a graceful shutdown.
type Stop struct {
	// Within is the time until all answers must have been given, 0 if it is not known.
	Within time.Duration
}

// AnswersDue is submitted when all answers of a stopping node must be given now. What runs at
// upstreams ends as at its deadline.
type AnswersDue struct{}

func (Tick) event()               {}
func (Arrived) event()            {}
func (Began) event()              {}
func (Paced) event()              {}
func (Ended) event()              {}
func (Moved) event()              {}
func (AnswerDropped) event()      {}
func (Expired) event()            {}
func (HandlerEnded) event()       {}
func (ConfigRead) event()         {}
func (UpstreamProbed) event()     {}
func (ConfigPacked) event()       {}
func (ConfigInvalid) event()      {}
func (UpstreamsListed) event()    {}
func (UpstreamsChanged) event()   {}
func (EvacuationsListed) event()  {}
func (EvacuationsChanged) event() {}
func (RolloutsChanged) event()    {}
func (RolloutWritten) event()     {}
func (SettingsChanged) event()    {}
func (StoreGeneration) event()    {}
func (StoreLost) event()          {}
func (StoreRegained) event()      {}
func (NodesListed) event()        {}
func (PeerReceived) event()       {}
func (PeerUnreachable) event()    {}
func (LeaseRead) event()          {}
func (LeaseWritten) event()       {}
func (UsageReported) event()      {}
func (FleetOrdered) event()       {}
func (QuarantineRead) event()     {}
func (QuarantineWritten) event()  {}
func (AnswersDue) event()         {}
func (Stop) event()               {}

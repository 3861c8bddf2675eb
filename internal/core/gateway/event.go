package gateway

import (
	"time"

	"monsoonlanding/internal/core/duty"
	"monsoonlanding/internal/core/fleet"
	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/placement"
	"monsoonlanding/internal/core/rollout"
	"monsoonlanding/internal/core/route"
)

// Event is something that happened to the node.
type Event interface{ event() }

// Tick tells that TickInterval has passed.
type Tick struct{}

// Request is what the decisions need to know of a caller's request.
type Request struct {
	// ID is the submission's own name.
	ID   string
	Host string
	Path string
	// Key is the caller's API key.
	Key string
	// Patience is how long the caller waits, 0 if it does not say.
	Patience time.Duration
	Prompt   placement.Prompt
	// Fingerprint identifies the content, to recognise a request that comes again.
	Fingerprint uint64
}

// Arrived is a whole request read from a caller. Conn identifies it until Left.
type Arrived struct {
	Conn    uint64
	Request Request
}

// Began tells that the upstream has begun to answer: its first event, or the
// head of an answer without events.
type Began struct {
	Conn    uint64
	Attempt int
}

// Ended tells that an attempt has ended.
type Ended struct {
	Conn    uint64
	Attempt int
	Result  Result
	// Detail is a few words for the log.
	Detail string
	// Sent says that part of the answer has reached the caller.
	Sent bool
	// Load is what the upstream said of its load, nil if nothing.
	Load *Load
}

// Load is an upstream's own count of its requests.
type Load struct{ Running, Waiting, Slots int }

// Result says how an attempt ended.
type Result string

// Results of attempts.
const (
	// ResultComplete: the whole answer was relayed.
	ResultComplete Result = "complete"
	// ResultErrored: the upstream answered whole, with an error of its own.
	ResultErrored Result = "errored"
	// ResultFull: the upstream refused for lack of room; not run.
	ResultFull Result = "full"
	// ResultMisdirected: another upstream has the address; not run.
	ResultMisdirected Result = "misdirected"
	// ResultRefused: the upstream refused for another reason; not run.
	ResultRefused Result = "refused"
	// ResultUnreachable: nothing was written on a connection; not run.
	ResultUnreachable Result = "unreachable"
	// ResultBroken: the connection broke after the request was written, or
	// the answer ended early; it may have run.
	ResultBroken Result = "broken"
	// ResultGarbled: the answer was none, or another request's; it may have run.
	ResultGarbled Result = "garbled"
	// ResultAborted: this node gave the attempt up.
	ResultAborted Result = "aborted"
)

// Results lists all results, so that each has a counter from the start.
func Results() []Result {
	return []Result{
		ResultComplete, ResultErrored, ResultFull, ResultMisdirected, ResultRefused,
		ResultUnreachable, ResultBroken, ResultGarbled, ResultAborted,
	}
}

// NotRun reports whether the result proves that the upstream did not and will
// not run the request.
func (r Result) NotRun() bool {
	switch r {
	case ResultFull, ResultMisdirected, ResultRefused, ResultUnreachable:
		return true
	default:
		return false
	}
}

// Moved answers a Move.
type Moved struct {
	Conn    uint64
	Attempt int
	Outcome MoveOutcome
	// Handle names the copied memory.
	Handle string
}

// MoveOutcome says how a move of a running request went.
type MoveOutcome string

// Outcomes of moves.
const (
	// MoveDone: the run has stopped and its memory is at the target.
	MoveDone MoveOutcome = "done"
	// MoveStopped: the run has stopped, but its memory is still at the source.
	MoveStopped MoveOutcome = "stopped"
	// MoveRefused: the run goes on, as the target has no room for it.
	MoveRefused MoveOutcome = "refused"
	// MoveAbsent: there is no such run.
	MoveAbsent MoveOutcome = "absent"
	// MoveUnknown: no answer; the run may have stopped.
	MoveUnknown MoveOutcome = "unknown"
)

// Expired tells that the time of a request is up.
type Expired struct{ Conn uint64 }

// Left tells that a request's handler has ended, since the caller has its
// answer or has gone.
type Left struct {
	Conn uint64
	// Gone says that the caller closed the connection before its answer.
	Gone bool
}

// ConfigRead is a configuration that the store or a peer holds.
type ConfigRead struct {
	Config route.Config
	// Body is the configuration as the platform holds it, for peers.
	Body []byte
	// Source names where it was read, for the log.
	Source string
}

// UpstreamsListed is the platform's whole list of upstreams at a revision of
// the store.
type UpstreamsListed struct {
	List     []placement.Upstream
	Revision int64
}

// UpstreamsChanged tells which entries of the list were put or removed up to
// a revision of the store.
type UpstreamsChanged struct {
	Put      []placement.Upstream
	Removed  []string
	Revision int64
}

// RolloutsChanged tells which roll-outs were ordered, changed or removed.
type RolloutsChanged struct {
	Orders []rollout.Order
	// Removed names services.
	Removed []string
}

// RolloutWritten answers a WriteRollout. Order is the roll-out as it stands.
type RolloutWritten struct {
	Order rollout.Order
	Done  bool
}

// SettingsChanged gives the node changed settings.
type SettingsChanged struct {
	Seeds  []string
	Bounds Bounds
}

// StoreLost tells that the store does not answer.
type StoreLost struct{}

// StoreBack tells that the store answers again.
type StoreBack struct{}

// NodesListed is the platform's list of nodes.
type NodesListed struct{ Nodes []NodeEntry }

// NodeEntry is where a node registered itself.
type NodeEntry struct {
	Node        string
	PeerAddress string
}

// PeerReceived is a message from another node.
type PeerReceived struct {
	From    string
	Message peer.Message
}

// LeaseRead answers a ReadLease.
type LeaseRead struct {
	Result duty.Result
	Stored duty.Stored
}

// LeaseWritten answers a WriteLease.
type LeaseWritten struct {
	Result duty.Result
	Stored duty.Stored
}

// UsageReported answers a ReportUsage.
type UsageReported struct {
	Window   int64
	Accepted bool
}

// FleetOrdered answers an OrderFleet.
type FleetOrdered struct {
	Order   fleet.Order
	Outcome fleet.Outcome
}

// Stop asks for a graceful shutdown.
type Stop struct{}

func (Tick) event()             {}
func (Arrived) event()          {}
func (Began) event()            {}
func (Ended) event()            {}
func (Moved) event()            {}
func (Expired) event()          {}
func (Left) event()             {}
func (ConfigRead) event()       {}
func (UpstreamsListed) event()  {}
func (UpstreamsChanged) event() {}
func (RolloutsChanged) event()  {}
func (RolloutWritten) event()   {}
func (SettingsChanged) event()  {}
func (StoreLost) event()        {}
func (StoreBack) event()        {}
func (NodesListed) event()      {}
func (PeerReceived) event()     {}
func (LeaseRead) event()        {}
func (LeaseWritten) event()     {}
func (UsageReported) event()    {}
func (FleetOrdered) event()     {}
func (Stop) event()             {}

package gateway

import (
	"time"

	"monsoonlanding/internal/core/duty"
	"monsoonlanding/internal/core/fleet"
	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/placement"
	"monsoonlanding/internal/core/rollout"
)

// Effect is something the node wants done.
type Effect interface{ effect() }

// Dispatch sends a request to an upstream.
type Dispatch struct {
	Conn     uint64
	Attempt  int
	Upstream placement.Upstream
	// Team is the name of the caller's team, empty without one.
	Team string
	// Until is when the upstream is to stop work.
	Until time.Time
	// Urgency is from 0, the most urgent, to 9.
	Urgency int
	// From is where the memory of the request's run lies, empty for a run
	// from the start or from the caller's last event.
	From Memory
	// Streaming, Resumable and EngineWork describe the route and service.
	Streaming, Resumable, EngineWork bool
}

// Memory names the KV cache of a stopped run. It is zero if there is none.
type Memory struct {
	Address string
	Handle  string
}

// Move stops a running request at an engine that is leaving and copies its
// KV cache to another; answered by Moved.
type Move struct {
	Conn    uint64
	Attempt int
	// Request is the submission's name.
	Request        string
	Source, Target placement.Upstream
}

// Refuse ends a request that has not run, or says that it may have.
type Refuse struct {
	Conn   uint64
	Reason Reason
	// RetryAfter is when the caller may come back, for requests that have not run.
	RetryAfter time.Duration
}

// PassOn gives the caller the upstream's own error.
type PassOn struct{ Conn uint64 }

// Cut closes the caller's connection in the middle of an answer.
type Cut struct {
	Conn   uint64
	Reason Reason
}

// Send sends a message to another node.
type Send struct {
	Node    string
	Address string
	Message peer.Message
}

// ReadLease reads the lease object; answered by LeaseRead.
type ReadLease struct{}

// WriteLease writes it if it has the revision; answered by LeaseWritten.
type WriteLease struct {
	Lease      duty.Lease
	IfRevision int64
}

// ReportUsage reports a window's usage; answered by UsageReported.
type ReportUsage struct {
	Report duty.Report
	Token  int64
}

// OrderFleet orders upstreams; answered by FleetOrdered.
type OrderFleet struct {
	Order fleet.Order
	Token int64
}

// WriteRollout writes the state of a roll-out if it has the revision; answered
// by RolloutWritten.
type WriteRollout struct{ Order rollout.Order }

// ForgetNode removes a node's entry from the platform.
type ForgetNode struct{ Node string }

// Register writes the node's own entry, which is missing at the platform.
type Register struct{}

// ListUpstreams lists the upstreams anew, since a peer knows of a change that
// this node has missed.
type ListUpstreams struct{}

// Count raises a counter by one.
type Count struct {
	Counter Counter
	Label   string
}

// Counter names a group of counters.
type Counter string

// Groups of counters.
const (
	CountRefusal Counter = "gateway_refusals"
	CountResend  Counter = "gateway_resends"
	CountResult  Counter = "gateway_results"
	CountDuty    Counter = "gateway_duties"
	CountMove    Counter = "gateway_moves"
)

// Observe adds a duration to the histogram of a route.
type Observe struct {
	Timing Timing
	Route  string
	Took   time.Duration
}

// Timing names a group of histograms.
type Timing string

// Groups of histograms, each counted from a request's arrival.
const (
	// TimeWaited ends when the request is first sent to an upstream.
	TimeWaited Timing = "gateway_waited"
	// TimeBegan ends when its answer first begins.
	TimeBegan Timing = "gateway_began"
	// TimeComplete ends when its answer is complete.
	TimeComplete Timing = "gateway_complete"
)

// Log writes a log line about a request or about what the node believes.
type Log struct {
	Step string
	// Conn and Request name the request and the submission, zero and empty
	// where none is concerned.
	Conn    uint64
	Request string
	Peer    string
	Message string
	// Inputs are what decided, as name and value by turns.
	Inputs []any
}

// Drained tells that a stopping node has nothing left to do.
type Drained struct{}

func (Dispatch) effect()      {}
func (Move) effect()          {}
func (Refuse) effect()        {}
func (PassOn) effect()        {}
func (Cut) effect()           {}
func (Send) effect()          {}
func (ReadLease) effect()     {}
func (WriteLease) effect()    {}
func (ReportUsage) effect()   {}
func (OrderFleet) effect()    {}
func (WriteRollout) effect()  {}
func (ForgetNode) effect()    {}
func (Register) effect()      {}
func (ListUpstreams) effect() {}
func (Count) effect()         {}
func (Observe) effect()       {}
func (Log) effect()           {}
func (Drained) effect()       {}

// Reason says why a request was refused or cut.
type Reason string

// Reasons for refusing or cutting a request.
const (
	// ReasonNoConfig: the node has no configuration yet.
	ReasonNoConfig Reason = "no_config"
	ReasonNoRoute  Reason = "no_route"
	ReasonBadKey   Reason = "bad_key"
	ReasonQuota    Reason = "quota"
	// ReasonNoUpstream: no upstream of the service takes work.
	ReasonNoUpstream Reason = "no_upstream"
	// ReasonOverload: the request could not begin in time.
	ReasonOverload Reason = "overload"
	// ReasonStopping: the node is shutting down.
	ReasonStopping Reason = "stopping"
	// ReasonNotRun: upstreams refused it and no resend is left.
	ReasonNotRun Reason = "not_run"
	// ReasonTimeout: the time was up before the request was sent.
	ReasonTimeout Reason = "timeout"
	// ReasonSuspect: its content has crashed upstreams before.
	ReasonSuspect Reason = "suspect"
	// ReasonLate: the time was up while it ran.
	ReasonLate Reason = "late"
	// ReasonFailed: an upstream failed while it may have run.
	ReasonFailed Reason = "failed"
	// ReasonBadRequest: the caller broke the protocol or its body broke off.
	ReasonBadRequest Reason = "bad_request"
	// ReasonTooLarge: its body is longer than the configuration allows.
	ReasonTooLarge Reason = "too_large"
)

// Reasons lists all reasons, so that each has a counter from the start.
func Reasons() []Reason {
	return []Reason{
		ReasonNoConfig, ReasonNoRoute, ReasonBadKey, ReasonQuota, ReasonNoUpstream,
		ReasonOverload, ReasonStopping, ReasonNotRun, ReasonTimeout, ReasonSuspect,
		ReasonLate, ReasonFailed, ReasonBadRequest, ReasonTooLarge,
	}
}

// resendDenied is counted where the resend budget allowed none.
const resendDenied = "denied"

// ResendCauses lists what resends are counted under: the result before, or
// that none was allowed.
func ResendCauses() []string {
	causes := []string{resendDenied}
	for _, result := range Results() {
		if result != ResultComplete && result != ResultAborted {
			causes = append(causes, string(result))
		}
	}
	return causes
}

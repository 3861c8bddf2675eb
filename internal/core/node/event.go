package node

import (
	"time"

	"monsoonlanding/internal/core/caller"
	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/platform"
	"monsoonlanding/internal/core/upstream"
)

// Event is an input of Reduce.
type Event interface{ event() }

// Tick reports that time has passed.
type Tick struct{}

// CallerRequest is a request submitted on connection Conn.
type CallerRequest struct {
	Conn     uint64
	Request  caller.Request
	Position caller.Position
}

// CallerResume requests the answer to a key from Position on.
type CallerResume struct {
	Conn     uint64
	Key      string
	Position caller.Position
}

// CallerDisconnected reports that the connection was closed.
type CallerDisconnected struct{ Conn uint64 }

// CallerCancel requests the cancellation of a request.
type CallerCancel struct{ Key string }

// UpstreamTokens carries tokens of an attempt. Offset is the index of the first
// one in the answer.
type UpstreamTokens struct {
	Attempt uint64
	Offset  int
	Tokens  []string
}

// UpstreamDone reports that an attempt has completed with Count tokens.
type UpstreamDone struct {
	Attempt uint64
	Count   int
	Result  []byte
}

// UpstreamFailed reports that an attempt ended without a complete answer.
type UpstreamFailed struct {
	Attempt uint64
	Cause   Cause
	Detail  string
}

// Cause is the reason why an attempt failed.
type Cause string

// Causes of failure.
const (
	// CauseBusy: the upstream rejected the request because it was at capacity;
	// it did not run.
	CauseBusy Cause = "busy"
	// CauseLeaving: the upstream rejected the request because it is leaving; it
	// did not run.
	CauseLeaving Cause = "leaving"
	// CauseConnect: the connection could not be established; the request did
	// not run.
	CauseConnect Cause = "connect"
	// CauseCrashed: the connection was lost after the request was sent.
	CauseCrashed Cause = "crashed"
	// CauseStalled: there was no progress within the timeout.
	CauseStalled Cause = "stalled"
	// CauseError: the upstream answered with an internal error.
	CauseError Cause = "error"
	// CauseRejected: the upstream rejected the request itself as invalid.
	CauseRejected Cause = "rejected"
	// CauseGap: tokens were missing from the answer.
	CauseGap Cause = "gap"
	// CauseTruncated: the answer ended before all its tokens had arrived.
	CauseTruncated Cause = "truncated"
)

// Causes returns all causes, so that each has a counter from the start.
func Causes() []Cause {
	return []Cause{
		CauseBusy, CauseLeaving, CauseConnect, CauseCrashed, CauseStalled,
		CauseError, CauseRejected, CauseGap, CauseTruncated,
	}
}

// NotRun reports whether the cause proves that the upstream did not run the
// request.
func (c Cause) NotRun() bool {
	return c == CauseBusy || c == CauseLeaving || c == CauseConnect
}

// UpstreamLoad is an upstream's load report.
type UpstreamLoad struct {
	Upstream string
	Load     upstream.Load
}

// UpstreamsListed is the platform's current list of upstreams.
type UpstreamsListed struct{ List []upstream.Upstream }

// UpstreamReclaimNotice reports that an upstream will be reclaimed at Until.
type UpstreamReclaimNotice struct {
	Upstream string
	Until    time.Time
}

// PeerReceived is a message from another node.
type PeerReceived struct {
	From    string
	Message peer.Message
}

// PeerUnreachable reports that a message to the node could not be sent.
type PeerUnreachable struct{ Peer string }

// MembersListed is the list of nodes registered with the platform.
type MembersListed struct{ Members []peer.Member }

// ObjectRead is the reply to a ReadObject. Err is empty on success.
type ObjectRead struct {
	Call   uint64
	Object platform.Object
	Err    string
}

// ObjectWritten is the reply to a WriteObject.
type ObjectWritten struct {
	Call     uint64
	Outcome  platform.WriteOutcome
	Revision uint64
}

// ObjectChanged is the reply to a WatchObject. Err is empty on success.
type ObjectChanged struct {
	Path   string
	Object platform.Object
	Err    string
}

// ApplyRules is an operator's request to replace the text of the rules.
type ApplyRules struct {
	Call uint64
	// Base is the revision that the operator edited.
	Base uint64
	Text string
	// Edit identifies this request, so that a retry after a lost reply
	// recognizes its own write.
	Edit   string
	Author string
}

// RequestRevisions requests the revision of the rules in force from all other
// nodes.
type RequestRevisions struct{}

// Stop requests a graceful shutdown.
type Stop struct{}

// NodeReclaimNotice reports that this node will be reclaimed at Until.
type NodeReclaimNotice struct{ Until time.Time }

func (Tick) event()                  {}
func (CallerRequest) event()         {}
func (CallerResume) event()          {}
func (CallerDisconnected) event()    {}
func (CallerCancel) event()          {}
func (UpstreamTokens) event()        {}
func (UpstreamDone) event()          {}
func (UpstreamFailed) event()        {}
func (UpstreamLoad) event()          {}
func (UpstreamsListed) event()       {}
func (UpstreamReclaimNotice) event() {}
func (PeerReceived) event()          {}
func (PeerUnreachable) event()       {}
func (MembersListed) event()         {}
func (ObjectRead) event()            {}
func (ObjectWritten) event()         {}
func (ObjectChanged) event()         {}
func (ApplyRules) event()            {}
func (RequestRevisions) event()      {}
func (Stop) event()                  {}
func (NodeReclaimNotice) event()     {}

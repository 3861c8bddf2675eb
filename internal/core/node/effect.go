package node

import (
	"time"

	"monsoonlanding/internal/core/caller"
	"monsoonlanding/internal/core/operator"
	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/upstream"
)

// Effect is an action that Reduce requests from its caller.
type Effect interface{ effect() }

// Reply sends an event to a caller's connection.
type Reply struct {
	Conn  uint64
	Event caller.StreamEvent
}

// Dispatch sends a request to an upstream.
type Dispatch struct {
	Attempt  uint64
	Upstream upstream.Upstream
	Request  caller.Request
	// Tokens is the part of the answer that exists already; the upstream
	// continues from there.
	Tokens []string
	// ProgressTimeout bounds the time without progress of the attempt.
	ProgressTimeout time.Duration
}

// CancelDispatch cancels an attempt.
type CancelDispatch struct{ Attempt uint64 }

// Send sends a message to another node.
type Send struct {
	To      string
	Address string
	Message peer.Message
}

// ReadObject reads an object; ObjectRead is its reply.
type ReadObject struct {
	Call uint64
	Path string
}

// WriteObject updates an object if its revision is IfRevision; ObjectWritten is
// its reply.
type WriteObject struct {
	Call       uint64
	Path       string
	IfRevision uint64
	Value      []byte
}

// WatchObject waits for a revision after After; ObjectChanged is its reply.
type WatchObject struct {
	Path  string
	After uint64
}

// ListUpstreams requests the list of upstreams from the platform;
// UpstreamsListed is its reply.
type ListUpstreams struct{}

// RemoveMember removes a dead node's record from the platform.
type RemoveMember struct{ ID string }

// PollLoads requests load reports from upstreams; UpstreamLoad is the reply of
// each.
type PollLoads struct{ Upstreams []upstream.Upstream }

// RulesApplied is the reply to an ApplyRules.
type RulesApplied struct {
	Call     uint64
	Outcome  ApplyOutcome
	Revision uint64
	Problems []operator.Problem
	// Text is the current text of the rules after a conflict.
	Text string
}

// ApplyOutcome is the outcome of an ApplyRules.
type ApplyOutcome string

// Outcomes of an ApplyRules.
const (
	ApplyAccepted    ApplyOutcome = "accepted"
	ApplyConflict    ApplyOutcome = "conflict"
	ApplyInvalid     ApplyOutcome = "invalid"
	ApplyUnavailable ApplyOutcome = "unavailable"
)

// Count adds N to a counter.
type Count struct {
	Counter Counter
	Label   string
	N       int
}

// Counter names a group of counters.
type Counter string

// Groups of counters.
const (
	CountRefusal  Counter = "refusals"
	CountRetry    Counter = "retries"
	CountAnswer   Counter = "answers"
	CountAccepted Counter = "accepted"
	CountTakeover Counter = "takeovers"
	CountDropped  Counter = "dropped_messages"
	CountTokens   Counter = "tokens_recomputed"
	CountStore    Counter = "object_calls"
)

// Level is a log level.
type Level string

// Log levels.
const (
	LevelInfo Level = "info"
	LevelWarn Level = "warn"
)

// Log writes a log line.
type Log struct {
	Level   Level
	Step    string
	Key     string
	Peer    string
	Message string
}

// Drained reports that a leaving node has no work left and can exit.
type Drained struct{}

func (Reply) effect()          {}
func (Dispatch) effect()       {}
func (CancelDispatch) effect() {}
func (Send) effect()           {}
func (ReadObject) effect()     {}
func (WriteObject) effect()    {}
func (WatchObject) effect()    {}
func (ListUpstreams) effect()  {}
func (RemoveMember) effect()   {}
func (PollLoads) effect()      {}
func (RulesApplied) effect()   {}
func (Count) effect()          {}
func (Log) effect()            {}
func (Drained) effect()        {}

package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"monsoonlanding/internal/core/fleet"
	core "monsoonlanding/internal/core/gateway"
	"monsoonlanding/internal/core/leader"
	"monsoonlanding/internal/core/rollout"
	"monsoonlanding/internal/core/route"
	"monsoonlanding/internal/core/store"
)

// Protocol encodes and decodes the messages exchanged with callers and
// upstreams.
type Protocol struct {
	// DecodeRequest decodes the head of a caller's request. The text of its error
	// is sent to the caller.
	DecodeRequest func(*http.Request) (core.Request, error)
	// EncodeHeader returns the header of a request to an upstream. remaining is
	// the time until the attempt's deadline. lastEvent is the ID of the last
	// event that previous attempts relayed to the caller, or empty; the upstream
	// resumes the stream after it.
	EncodeHeader func(caller http.Header, d core.Dispatch, remaining time.Duration, lastEvent string) http.Header
	// EncodeRelayed returns the header of a request that is passed on to another node, as
	// its caller sent it but for the remaining time and the last event.
	EncodeRelayed func(caller http.Header, remaining time.Duration, lastEvent string) http.Header
	// ClassifyHead derives the result of an attempt from the head of an
	// upstream's answer to the request.
	ClassifyHead func(requestID string, status int, h http.Header) Head
	// AnswerID returns the ID of the request that an answer of an upstream or another node
	// names, empty if it names none. nil: answers name no requests.
	AnswerID func(http.Header) string
	// CopyHeader copies the header of an upstream's answer to the caller's
	// answer.
	CopyHeader func(to, from http.Header)
	// WriteRefusal answers a request with the status for the reason.
	WriteRefusal func(w http.ResponseWriter, requestID string, reason core.Reason, retryAfter time.Duration)
	// Directory and Readiness return the handlers of the node's directory and
	// readiness addresses.
	Directory func(Directory) http.Handler
	Readiness func(ready func() bool) http.Handler
}

// Head is the decoded head of an upstream's answer.
type Head struct {
	// Result is core.ResultComplete if the answer may be relayed.
	Result core.Result
	// Detail explains any other result in the log.
	Detail string
	// Signals is what the upstream says of itself.
	Signals core.Signals
}

// Directory returns the addresses that callers can connect to, at most limit.
type Directory func(limit int) DirectoryAnswer

// DirectoryAnswer is the node's answer to a directory request.
type DirectoryAnswer struct {
	Addresses []string
	// TTL is the duration for which the caller may cache the addresses.
	TTL time.Duration
}

// ErrRelist is returned by Feed.Watch if the store no longer has the changes
// after the revision. The feed must be listed again.
var ErrRelist = errors.New("change history is lost")

// Changes are the changes of a feed up to a revision.
type Changes struct {
	Events   []core.Event
	Revision store.Revision
	// Problems has an error for each invalid entry.
	Problems []error
}

// Feed is a part of the platform's store that a node follows.
type Feed struct {
	Name core.FeedName
	// Main marks the feed whose failed calls report the store as lost, and whose
	// successful calls report it as regained.
	Main bool
	List func(ctx context.Context) (Changes, error)
	// Watch returns the changes after a revision. It returns as soon as there is
	// a change, or without changes when wait is over.
	Watch func(ctx context.Context, revision store.Revision, wait time.Duration) (Changes, error)
}

// Services are the operations of the platform's store and API.
type Services struct {
	Feeds []Feed
	// FollowGeneration sets the functions that are called with each rise of the
	// generation that the store's answers name, before the call with the answer returns,
	// and with each new reason why an answer names no valid one.
	FollowGeneration func(report func(generation int64), invalid func(error))
	DecodeConfig     func(body []byte) (route.Config, error)
	// ListNodes returns the listed nodes, and an error for each entry that can't be decoded.
	ListNodes    func(ctx context.Context) (core.NodesListed, []error, error)
	RegisterNode func(ctx context.Context, node, peerAddress string) error
	RemoveNode   func(ctx context.Context, node string) error
	ReadLease    func(ctx context.Context) (core.LeaseRead, error)
	WriteLease   func(ctx context.Context, l leader.Lease, ifRevision store.Revision) (core.LeaseWritten, error)
	ReportUsage  func(ctx context.Context, r leader.Report, token int64) error
	WriteRollout func(ctx context.Context, o rollout.Order) (core.RolloutWritten, error)
	// ReadQuarantine returns Done with an error if the store has answered and the
	// answer can't be decoded.
	ReadQuarantine  func(ctx context.Context) (core.QuarantineRead, error)
	WriteQuarantine func(ctx context.Context, e core.WriteQuarantine) error
	// MoveRun calls the source of a move by the exchange.
	MoveRun    func(ctx context.Context, exchange Exchange, m core.Move) (core.Moved, error)
	OrderFleet func(ctx context.Context, o fleet.Order, token int64) (fleet.Outcome, error)
}

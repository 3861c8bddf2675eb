// Package upstreamhttp is a client of model engines and plain services over
// HTTP.
//
// An engine answers POST /v1/generate with server-sent events: "token" events
// with an offset that counts from the start of the answer, and one "done"
// event with the number of tokens. A request may contain the first tokens of an
// answer, after which the engine continues. A plain service answers POST
// /v1/call with one JSON document. Both answer 503 with a reason if they did
// not run the request, and report their load at GET /v1/load.
//
// # Usage
//
//	c := upstreamhttp.New(http.DefaultClient)
//	c.Run(ctx, dispatch, func(e node.Event) { ... })
package upstreamhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/tmaxmax/go-sse"

	"monsoonlanding/internal/core/node"
	"monsoonlanding/internal/core/upstream"
	"monsoonlanding/internal/wire/http1"
)

const (
	// GeneratePath, CallPath and LoadPath are the paths of an upstream.
	GeneratePath = "/v1/generate"
	CallPath     = "/v1/call"
	LoadPath     = "/v1/load"
	// HeaderKey is the header with the request's key, HeaderInstance the one with
	// the ID of the exchange, which the upstream returns with its answer. It begins with the ID of
	// the request's submission and is new at each try.
	HeaderKey      = "Idempotency-Key"
	HeaderInstance = "Request-Instance"
	// EventToken and EventDone are the names of the events of an engine's answer.
	EventToken = "token"
	EventDone  = "done"
	// ReasonBusy and ReasonLeaving are the reasons for not running a request.
	ReasonBusy    = "busy"
	ReasonLeaving = "leaving"
	// maxResultBytes bounds a plain service's answer.
	maxResultBytes = 1 << 20
	// maxEventBytes bounds one event of an engine's answer.
	maxEventBytes = 1 << 20
	// maxStreamBytes bounds the tokens of one answer, which nodes hold in memory.
	maxStreamBytes = 8 << 20
	// maxLoadBytes bounds a load report.
	maxLoadBytes = 1 << 10
)

// Generate is the body of a request to an engine.
type Generate struct {
	Body json.RawMessage `json:"body"`
	// Tokens are the first tokens of the answer, after which the engine
	// continues.
	Tokens []string `json:"tokens,omitempty"`
}

// Token is the data of a token event.
type Token struct {
	Offset int      `json:"offset"`
	Tokens []string `json:"tokens"`
}

// Done is the data of a done event.
type Done struct {
	Count int `json:"count"`
}

// NotRun is the body of a 503 answer.
type NotRun struct {
	Reason string `json:"reason"`
}

// Load is the body of a load report.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// Client sends requests to upstreams.
type Client struct {
	http *http.Client
	// echoing holds the addresses of the upstreams that return the exchange's ID.
	echoing sync.Map
	// exchanges counts the exchanges so far.
	exchanges atomic.Uint64
}

// New returns a client that uses the given HTTP client.
func New(client *http.Client) *Client { return &Client{http: client} }

// Run executes a dispatch and calls report for each of its events. It returns
// when the attempt has ended.
func (c *Client) Run(ctx context.Context, d node.Dispatch, report func(node.Event)) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(d.ProgressTimeout, func() { cancel(errStalled) })
	defer watchdog.Stop()
	id := c.nextID(d.Request.Instance)
	resp, err := c.post(ctx, d, id)
	if err != nil {
		report(failureEvent(ctx, d.Attempt, err, connectCause(err)))
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if err := c.checkInstance(d.Upstream.Address, id, resp); err != nil {
		report(failureEvent(ctx, d.Attempt, err, node.CauseCrashed))
		return
	}
	if e := statusFailure(d.Attempt, resp); e != nil {
		report(e)
		return
	}
	watchdog.Reset(d.ProgressTimeout)
	if d.Upstream.Kind == upstream.Plain {
		report(readResult(ctx, d.Attempt, resp))
		return
	}
	report(c.readStream(ctx, d, resp, func(e node.Event) {
		watchdog.Reset(d.ProgressTimeout)
		report(e)
	}))
}

var errStalled = errors.New("no progress within the time-out")

// nextID returns the ID of the next exchange for a submission. A request that comes again keeps its
// submission, so that this does not tell a copy of an earlier answer to it from the answer.
func (c *Client) nextID(instance string) string {
	return instance + "." + strconv.FormatUint(c.exchanges.Add(1), 10)
}

func (c *Client) post(ctx context.Context, d node.Dispatch, id string) (*http.Response, error) {
	path, body, err := encode(d)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.Upstream.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	// The transport retries requests that have an Idempotency-Key. Without GetBody
	// it cannot retry once it has read the body.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderKey, d.Request.Key)
	req.Header.Set(HeaderInstance, id)
	_, echoes := c.echoing.Load(d.Upstream.Address)
	req.Close = !echoes
	return c.http.Do(req)
}

// checkInstance returns an error if an answer is of another exchange, or may be: on a connection
// that was used before, an upstream may send a second copy of an earlier answer.
func (c *Client) checkInstance(address, want string, resp *http.Response) error {
	got := resp.Header.Get(HeaderInstance)
	switch {
	case got == want:
		c.echoing.Store(address, true)
		return nil
	case got == "" && resp.Request.Close:
		return nil
	default:
		c.echoing.Delete(address)
		c.http.CloseIdleConnections()
		return errors.Errorf("answer of %s: got %s %q, expected %q", address, HeaderInstance, got, want)
	}
}

// encode returns the path and body for a dispatch. A plain service gets the
// caller's body unchanged.
func encode(d node.Dispatch) (path string, body []byte, err error) {
	if d.Upstream.Kind == upstream.Plain {
		return CallPath, d.Request.Body, nil
	}
	body, err = json.Marshal(Generate{Body: d.Request.Body, Tokens: d.Tokens})
	if err != nil {
		return "", nil, errors.Wrap(err, "encode request")
	}
	return GeneratePath, body, nil
}

// connectCause returns the cause of a failed request: CauseConnect if no
// connection was made, otherwise CauseCrashed, since the request may have run.
func connectCause(err error) node.Cause {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return node.CauseConnect
	}
	return node.CauseCrashed
}

// failureEvent returns the event for a failed attempt. A stall replaces the given
// cause, since it ended ctx.
func failureEvent(ctx context.Context, attempt uint64, err error, cause node.Cause) node.Event {
	if errors.Is(context.Cause(ctx), errStalled) {
		return node.UpstreamFailed{Attempt: attempt, Cause: node.CauseStalled, Detail: errStalled.Error()}
	}
	return node.UpstreamFailed{Attempt: attempt, Cause: cause, Detail: err.Error()}
}

// statusFailure returns the failure for an answer whose status is not 200, and
// nil for one whose status is 200.
func statusFailure(attempt uint64, resp *http.Response) node.Event {
	switch {
	case resp.StatusCode == http.StatusOK:
		return nil
	case resp.StatusCode == http.StatusServiceUnavailable:
		return unavailableFailure(attempt, resp)
	case resp.StatusCode >= 400 && resp.StatusCode < 500:
		detail, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
		return node.UpstreamFailed{Attempt: attempt, Cause: node.CauseRejected, Detail: string(detail)}
	}
	return node.UpstreamFailed{Attempt: attempt, Cause: node.CauseError, Detail: resp.Status}
}

// unavailableFailure returns the failure for a 503 answer. Only a known reason
// in its body proves that the request did not run.
func unavailableFailure(attempt uint64, resp *http.Response) node.Event {
	var n NotRun
	_ = json.NewDecoder(io.LimitReader(resp.Body, 512)).Decode(&n)
	cause := node.CauseError
	switch n.Reason {
	case ReasonBusy:
		cause = node.CauseBusy
	case ReasonLeaving:
		cause = node.CauseLeaving
	}
	return node.UpstreamFailed{Attempt: attempt, Cause: cause, Detail: n.Reason}
}

func readResult(ctx context.Context, attempt uint64, resp *http.Response) node.Event {
	result, err := http1.ReadDocument(resp.Body, maxResultBytes)
	whole := !errors.Is(err, http1.ErrTooLarge)
	if err != nil && whole {
		return failureEvent(ctx, attempt, err, node.CauseCrashed)
	}
	if whole && http1.FramingOf(resp) == http1.FramingClose && !marksItsEnd(result) {
		return failureEvent(ctx, attempt, io.ErrUnexpectedEOF, node.CauseCrashed)
	}
	if !whole || !json.Valid(result) {
		return node.UpstreamFailed{Attempt: attempt, Cause: node.CauseError, Detail: "the answer is no JSON document of at most 1 MiB"}
	}
	return node.UpstreamDone{Attempt: attempt, Result: result}
}

// marksItsEnd reports whether a result can't be the beginning of a longer JSON
// document. A number has no end of its own.
func marksItsEnd(result []byte) bool {
	if !json.Valid(result) {
		return false
	}
	last := result[len(result)-1]
	return last < '0' || last > '9'
}

func (c *Client) readStream(ctx context.Context, d node.Dispatch, resp *http.Response, report func(node.Event)) node.Event {
	read := 0
	for ev, err := range sse.Read(resp.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return failureEvent(ctx, d.Attempt, err, node.CauseCrashed)
		}
		if read += len(ev.Data); read > maxStreamBytes {
			return node.UpstreamFailed{Attempt: d.Attempt, Cause: node.CauseError, Detail: "the answer exceeds 8 MiB"}
		}
		switch ev.Type {
		case EventToken:
			var t Token
			if err := json.Unmarshal([]byte(ev.Data), &t); err != nil {
				return node.UpstreamFailed{Attempt: d.Attempt, Cause: node.CauseError, Detail: err.Error()}
			}
			report(node.UpstreamTokens{Attempt: d.Attempt, Offset: t.Offset, Tokens: t.Tokens})
		case EventDone:
			var done Done
			if err := json.Unmarshal([]byte(ev.Data), &done); err != nil {
				return node.UpstreamFailed{Attempt: d.Attempt, Cause: node.CauseError, Detail: err.Error()}
			}
			return node.UpstreamDone{Attempt: d.Attempt, Count: done.Count}
		}
	}
	return failureEvent(ctx, d.Attempt, io.ErrUnexpectedEOF, node.CauseCrashed)
}

// Load requests an upstream's load report and sets its time to at, the time of
// the request.
func (c *Client) Load(ctx context.Context, u upstream.Upstream, at time.Time) (upstream.Load, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.Address+LoadPath, nil)
	if err != nil {
		return upstream.Load{}, errors.Wrapf(err, "create load request to %s", u.ID)
	}
	id := c.nextID("load")
	req.Header.Set(HeaderInstance, id)
	resp, err := c.http.Do(req)
	if err != nil {
		return upstream.Load{}, errors.Wrapf(err, "get load of %s", u.ID)
	}
	defer func() { _ = resp.Body.Close() }()
	// Upstreams need not return the ID with a report, but other answers have their own.
	if got := resp.Header.Get(HeaderInstance); got != "" && got != id {
		c.http.CloseIdleConnections()
		return upstream.Load{}, errors.Errorf("get load of %s: got an answer to %q, expected one to %q", u.ID, got, id)
	}
	var l *Load
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxLoadBytes)).Decode(&l); err != nil {
		return upstream.Load{}, errors.Wrapf(err, "decode load of %s", u.ID)
	}
	if l == nil {
		return upstream.Load{}, errors.Errorf("decode load of %s: got null, expected an object", u.ID)
	}
	return upstream.Load{At: at, Running: l.Running, Waiting: l.Waiting}, nil
}

package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	core "monsoonlanding/internal/core/gateway"
	"monsoonlanding/internal/wire/http1"
)

const (
	// writeMargin extends the deadline for writes to the caller beyond the deadline
	// of the attempt.
	writeMargin = 250 * time.Millisecond
	// maxRefusalBytes and maxRefusalTime bound the body of a refusal, which is read
	// only for the sake of its connection.
	maxRefusalBytes = 64 << 10
	maxRefusalTime  = 50 * time.Millisecond
)

// attempt sends the request to an upstream and relays the answer. It reports
// whether the request is finished.
func (h *handler) attempt(ctx context.Context, d core.Dispatch) bool {
	startedAt := h.runner.cfg.Clock.Now()
	remaining := d.Deadline.Sub(startedAt)
	attemptCtx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	defer context.AfterFunc(h.runner.ending, cancel)()
	_ = h.control.SetWriteDeadline(time.Now().Add(remaining + writeMargin))
	ended := h.exchange(attemptCtx, d, remaining)
	ended.Conn, ended.Attempt = h.conn, d.Attempt
	ended.AnswerSent, ended.CallerFraming = h.framing != "", h.framing
	if ended.Result == core.ResultComplete {
		h.runner.submit(ended)
		h.finish()
		return true
	}
	if ctx.Err() != nil {
		h.reportDropped(d, startedAt, ended)
		return true
	}
	if ended.Result == core.ResultAborted {
		h.abort()
	}
	if attemptCtx.Err() != nil {
		h.reportDropped(d, startedAt, ended)
		h.runner.submit(core.Expired{Conn: h.conn, AnswerSent: h.framing != ""})
		return false
	}
	h.runner.submit(ended)
	return false
}

// reportDropped reports the head of an answer, if one arrived, that the request does not wait for
// any more.
func (h *handler) reportDropped(d core.Dispatch, startedAt time.Time, ended core.Ended) {
	if ended.Framing != "" && ended.Result != core.ResultMisdirected && d.Relay == (core.Relay{}) {
		h.runner.submit(core.AnswerDropped{Upstream: d.Upstream, StartedAt: startedAt, Signals: ended.Signals})
	}
}

// exchange sends the request, relays the answer and returns the result.
func (h *handler) exchange(ctx context.Context, d core.Dispatch, remaining time.Duration) core.Ended {
	h.stream.partialBytes = 0
	h.releaseAnswer()
	answer, isRelay, err := h.send(ctx, d, remaining)
	if err != nil {
		return failedAttempt(err)
	}
	defer answer.Close()
	h.connect = core.ConnectReused
	if answer.Dialed() {
		h.connect = core.ConnectOpened
	}
	ended := core.Ended{Connect: h.connect, Exchange: describe(answer)}
	if !answer.Own() {
		ended.Result, ended.Detail = core.ResultMalformed, "answer does not name the request"
		return ended
	}
	if isRelay && !classifyRelayed(answer, &ended) {
		h.drain(answer)
		return ended
	}
	head := h.runner.cfg.Protocol.ClassifyHead(h.request.ID, answer.Status(), answer.Header())
	h.signals = head.Signals
	h.signals.ReceivedAt = h.runner.cfg.Clock.Now()
	ended.Result, ended.Detail, ended.Signals = head.Result, head.Detail, h.signals
	ended.Framing = core.Framing(answer.Framing())
	switch {
	case head.Result == core.ResultErrored:
		err = h.bufferAnswer(answer)
	case head.Result != core.ResultComplete:
		if head.Result.NotRun() {
			h.drain(answer)
		}
		return ended
	case d.Streaming && isEventStream(answer):
		err = h.relayEvents(answer, d)
		if answer.Framing() == http1.FramingClose {
			ended.Result = core.ResultClosed
		}
	case h.framing != "":
		err = errors.Wrapf(errMalformed, "got status %d and type %q, expected the rest of a stream",
			answer.Status(), answer.Header().Get("Content-Type"))
	default:
		err = h.relayDocument(answer, d)
	}
	ended.PartialBytes = h.stream.partialBytes
	if err != nil {
		answer.Reject()
		failed := failedAttempt(err)
		ended.Result, ended.Detail = failed.Result, failed.Detail
	}
	return ended
}

// describe returns what the log has of the exchange of an answer.
func describe(answer *http1.Answer) core.Exchange {
	c := answer.Connection()
	return core.Exchange{Connection: c.Number, Earlier: c.Exchanges, Extra: answer.Extra(), Names: answer.Names()}
}

// send sends the request of an attempt to its upstream, or to the node that it is passed on to.
func (h *handler) send(ctx context.Context, d core.Dispatch, remaining time.Duration) (answer *http1.Answer, isRelay bool, err error) {
	if d.Relay != (core.Relay{}) {
		answer, err = h.runner.pool.Do(ctx, d.Relay.Address, h.relayRequest(d, remaining))
		return answer, true, err
	}
	answer, err = h.runner.exchangeDispatched(ctx, d, h.upstreamRequest(d, remaining))
	return answer, false, err
}

// upstreamRequest returns the request for the upstream of an attempt.
func (h *handler) upstreamRequest(d core.Dispatch, remaining time.Duration) *http1.Request {
	return &http1.Request{
		ID:      h.request.ID,
		Method:  h.r.Method,
		Target:  h.r.RequestURI,
		Host:    h.r.Host,
		Header:  h.runner.cfg.Protocol.EncodeHeader(h.r.Header, d, remaining, h.stream.lastID),
		Body:    h.body,
		MaxIdle: d.MaxIdleConns,
		Hold:    h.headLease.Grow,
	}
}

// drain reads the body of a refusal: its connection can be reused only then.
func (h *handler) drain(answer *http1.Answer) {
	if err := answer.Drain(maxRefusalBytes, maxRefusalTime); err != nil {
		h.runner.log.Debug().Str("step", "attempt").Str("request", h.request.ID).Err(err).Msg("body of refusal not read")
	}
}

// failedAttempt returns the event for an attempt that failed with err.
func failedAttempt(err error) core.Ended {
	result := core.ResultBroken
	switch {
	case errors.Is(err, errCallerWrite):
		result = core.ResultAborted
	case errors.Is(err, errMalformed), http1.Malformed(err):
		result = core.ResultMalformed
	case errors.Is(err, http1.ErrWithheld):
		result = core.ResultWithheld
	case !http1.Written(err):
		result = core.ResultUnreachable
	}
	ended := core.Ended{Result: result, Detail: err.Error()}
	if failed := (*http1.Error)(nil); errors.As(err, &failed) {
		ended.Exchange = core.Exchange{Connection: failed.Connection.Number, Earlier: failed.Connection.Exchanges}
	}
	if http1.ConnectFailed(err) {
		ended.Connect = core.ConnectFailed
	}
	return ended
}

// errCallerWrite is the cause of an attempt that ends because a write to the
// caller fails.
var errCallerWrite = errors.New("write to caller")

// errBrokenOff is the cause of an attempt whose answer ended too early although
// its framing does not show that.
var errBrokenOff = errors.New("answer broken off")

// errMalformed is the cause of an attempt that ends because the answer breaks
// the protocol or a size limit.
var errMalformed = errors.New("malformed answer")

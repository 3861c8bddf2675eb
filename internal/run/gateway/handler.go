package gateway

import (
	"context"
	"net/http"

	"github.com/cespare/xxhash/v2"

	core "monsoonlanding/internal/core/gateway"
	"monsoonlanding/internal/core/memory"
	"monsoonlanding/internal/wire/boundedtcp"
	"monsoonlanding/internal/wire/relayhttp"
)

// maxQueuedEffects bounds the effects queued for one handler.
const maxQueuedEffects = 8

// defaultBodyBytes bounds a request's body if the configuration sets no limit
// or has not been read yet.
const defaultBodyBytes = 4 << 20

// handler serves one request of a caller.
type handler struct {
	runner  *Runner
	conn    uint64
	effects chan core.Effect
	w       http.ResponseWriter
	r       *http.Request
	control *http.ResponseController
	request core.Request
	body    []byte
	// bodyLease is the memory of the request's body, headLease and answerLease that of the head of the
	// answer and of what else is held of it.
	bodyLease, headLease, answerLease *memory.Lease
	// relayed is set if another node has passed the request on.
	relayed *core.Relayed
	// lines buffers the request's log lines until the request ends; nil if they
	// are written at once.
	lines *lineBuffer
	// failed is set if the request was refused, aborted or answered with an
	// error.
	failed bool
	// framing is the framing of the caller's answer, empty before its head has
	// been written.
	framing core.Framing
	// stream is the state of a streamed answer over all attempts.
	stream stream
	// signals is what the upstream says of itself in the current answer.
	signals core.Signals
	// connect is what became of the connection of the current attempt.
	connect core.Connect
	// answer is the answer last read by bufferAnswer, nil before the first.
	answer *bufferedAnswer
}

// serveCaller serves one request of a caller.
func (r *Runner) serveCaller(w http.ResponseWriter, req *http.Request) { r.serveRequest(w, req, nil) }

// serveRequest serves one request of a caller, which another node may have passed on.
func (r *Runner) serveRequest(w http.ResponseWriter, req *http.Request, relayed *core.Relayed) {
	h := &handler{
		runner:      r,
		relayed:     relayed,
		effects:     make(chan core.Effect, maxQueuedEffects),
		w:           w,
		r:           req,
		control:     http.NewResponseController(w),
		bodyLease:   r.intake.budget.Lease(memory.Body),
		headLease:   r.intake.budget.Lease(memory.Answer),
		answerLease: r.intake.budget.Lease(memory.Answer),
	}
	defer h.bodyLease.Release()
	defer h.releaseAnswer()
	if !h.read() {
		return
	}
	defer h.endPanicked()
	h.addHandler()
	disconnected := !h.serve(req.Context())
	r.removeHandler(h, disconnected)
}

// read reads the request's head and body. It answers a request that is invalid or not read itself
// and reports whether the request may be served.
func (h *handler) read() bool {
	request, err := h.runner.cfg.Protocol.DecodeRequest(h.r)
	if err != nil {
		h.refuseInvalid(http.StatusBadRequest, core.ReasonBadRequest, err)
		return false
	}
	h.request = request
	if !h.readBody() {
		return false
	}
	h.request.Fingerprint = fingerprint(h.r, h.request.Key, h.body)
	return true
}

// refuseInvalid answers a request that breaks the protocol or the size limit
// and closes the connection.
func (h *handler) refuseInvalid(status int, reason core.Reason, err error) {
	boundedtcp.AbandonBody(h.control)
	count(core.Count{Counter: core.CountRefusal, Label: string(reason)})
	h.runner.log.Info().Str("step", "refuse").Str("request", h.request.ID).Int("status", status).Err(err).Msg(string(reason))
	h.w.Header().Set("Connection", "close")
	h.setOutcome(relayhttp.OutcomeRefused)
	http.Error(h.w, err.Error(), status)
}

func fingerprint(r *http.Request, key string, body []byte) uint64 {
	d := xxhash.New()
	for _, s := range []string{r.Method, r.Host, r.URL.RequestURI(), key} {
		// Writes to a Digest never fail.
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return d.Sum64()
}

func (r *Runner) bodyLimit() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if limit := r.core.Limits().BodyBytes; limit > 0 {
		return limit
	}
	return defaultBodyBytes
}

// addHandler registers the handler and submits the request's arrival.
func (h *handler) addHandler() {
	r := h.runner
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastConn++
	h.conn = r.lastConn
	r.handlers[h.conn] = h
	if !r.sampler.selected(r.cfg.Clock.Now(), h.request.ID) {
		h.lines = newLineBuffer(r.log)
	}
	if r.core.Stopping() {
		h.w.Header().Set("Connection", "close")
	}
	r.reduce(core.Arrived{Conn: h.conn, Request: h.request, Relayed: h.relayed})
}

// removeHandler submits the end of the request and removes its handler.
// disconnected is set if the caller disconnected before its answer was complete,
// but not if abort closes the connection.
func (r *Runner) removeHandler(h *handler, disconnected bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reduce(core.HandlerEnded{Conn: h.conn, Disconnected: disconnected})
	delete(r.handlers, h.conn)
	if h.lines != nil {
		r.flushLines(h.lines, disconnected || h.failed)
	}
}

// serve executes the effects for the request until it is finished. It reports
// whether the caller is still connected.
func (h *handler) serve(ctx context.Context) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case e := <-h.effects:
			if h.execute(ctx, e) {
				return ctx.Err() == nil
			}
		}
	}
}

// execute executes one effect and reports whether the request is finished.
func (h *handler) execute(ctx context.Context, e core.Effect) bool {
	switch e := e.(type) {
	case core.Dispatch:
		return h.attempt(ctx, e)
	case core.Refuse:
		h.guardBegun(string(e.Reason))
		h.setOutcome(refusalOutcome(e.Reason))
		h.runner.cfg.Protocol.WriteRefusal(h.w, h.request.ID, e.Reason, e.RetryAfter)
		return true
	case core.RelayError:
		h.guardBegun("upstream's error")
		h.writeBuffered()
		return true
	case core.Finish:
		h.finish()
		return true
	case core.Abort:
		h.abort()
		return true
	default:
		return false
	}
}

// guardBegun breaks an answer that has begun off in place of writing another one into it. The
// reducer decides so itself where it knows that the answer has begun.
func (h *handler) guardBegun(instead string) {
	if h.framing == "" {
		return
	}
	h.runner.log.Error().Str("step", "guard").Str("request", h.request.ID).Str("instead", instead).
		Msg("answer had begun and is broken off")
	h.abort()
}

// finish ends the answer in order.
func (h *handler) finish() {
	if h.framing == core.FramingClose {
		h.resetOnClose(false)
	}
}

// abort breaks the caller's connection so that the answer does not look complete.
func (h *handler) abort() {
	h.runner.removeHandler(h, false)
	panic(http.ErrAbortHandler)
}

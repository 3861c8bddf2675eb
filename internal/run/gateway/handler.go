package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	core "monsoonlanding/internal/core/gateway"
)

// effectsMax is how many effects can be on their way to one handler.
const effectsMax = 8

// defaultBodyBytes bounds a body before a configuration has been read.
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
	// held keeps the request's log lines until it ends; nil if they are
	// written at once.
	held *heldLines
	// failed says that the request was refused, cut or given an error.
	failed bool
	// stream is the state of a streamed answer over all attempts.
	stream stream
	// answer is an upstream's own error, kept until it is decided whether it
	// is passed on.
	answer *kept
}

// kept is a whole answer that has been read.
type kept struct {
	status int
	header http.Header
	body   []byte
}

// serveCaller serves a request from its arrival to its answer.
func (r *Runner) serveCaller(w http.ResponseWriter, req *http.Request) {
	h := &handler{
		runner:  r,
		effects: make(chan core.Effect, effectsMax),
		w:       w,
		r:       req,
		control: http.NewResponseController(w),
	}
	if !h.read() {
		return
	}
	h.arrive()
	gone := !h.serve(req.Context())
	r.leave(h, gone)
}

// read takes in the request's head and body. It answers bad ones itself.
func (h *handler) read() bool {
	request, err := h.runner.cfg.Protocol.DecodeRequest(h.r)
	if err != nil {
		h.refuseBad(http.StatusBadRequest, core.ReasonBadRequest, err)
		return false
	}
	h.request = request
	body, err := io.ReadAll(http.MaxBytesReader(h.w, h.r.Body, h.runner.bodyLimit()))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		h.refuseBad(http.StatusRequestEntityTooLarge, core.ReasonTooLarge, err)
		return false
	case err != nil:
		h.refuseBad(http.StatusBadRequest, core.ReasonBadRequest, err)
		return false
	}
	h.body = body
	h.request.Fingerprint = fingerprint(h.r, h.request.Key, body)
	return true
}

// refuseBad answers a request that breaks the protocol and closes the connection.
func (h *handler) refuseBad(status int, reason core.Reason, err error) {
	count(core.Count{Counter: core.CountRefusal, Label: string(reason)})
	h.runner.log.Info().Str("step", "refuse").Str("request", h.request.ID).Int("status", status).Err(err).Msg(string(reason))
	h.w.Header().Set("Connection", "close")
	http.Error(h.w, err.Error(), status)
}

func fingerprint(r *http.Request, key string, body []byte) uint64 {
	d := xxhash.New()
	for _, s := range []string{r.Method, r.Host, r.URL.RequestURI(), key} {
		// Digest never fails.
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

func (h *handler) arrive() {
	r := h.runner
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastConn++
	h.conn = r.lastConn
	r.handlers[h.conn] = h
	if !r.sampler.chosen(r.cfg.Clock.Now(), h.request.ID) {
		h.held = newHeldLines(r.log)
	}
	if r.core.Stopping() {
		h.w.Header().Set("Connection", "close")
	}
	r.reduce(core.Arrived{Conn: h.conn, Request: h.request})
}

func (r *Runner) leave(h *handler, gone bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reduce(core.Left{Conn: h.conn, Gone: gone})
	delete(r.handlers, h.conn)
	if h.held != nil {
		r.release(h.held, gone || h.failed)
	}
}

// serve carries out the decisions on the request until it has its answer. It
// reports whether the caller stayed.
func (h *handler) serve(ctx context.Context) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case e := <-h.effects:
			if h.act(ctx, e) {
				return ctx.Err() == nil
			}
		}
	}
}

// act carries out one decision and reports whether the request is finished.
func (h *handler) act(ctx context.Context, e core.Effect) bool {
	switch e := e.(type) {
	case core.Dispatch:
		return h.attempt(ctx, e)
	case core.Refuse:
		h.runner.cfg.Protocol.WriteRefusal(h.w, h.request.ID, e.Reason, e.RetryAfter)
		return true
	case core.PassOn:
		h.passOn()
		return true
	case core.Cut:
		h.cut()
		return true
	default:
		return false
	}
}

// cut closes the caller's connection so that the answer does not look complete.
func (h *handler) cut() {
	h.runner.leave(h, false)
	panic(http.ErrAbortHandler)
}

func (h *handler) passOn() {
	a := h.answer
	h.runner.cfg.Protocol.CopyHeader(h.w.Header(), a.header)
	h.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	h.w.WriteHeader(a.status)
	// A caller that has gone needs no answer.
	_, _ = h.w.Write(a.body)
}

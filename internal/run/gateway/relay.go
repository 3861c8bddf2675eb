package gateway

import (
	"net/http"
	"strconv"
	"time"

	core "monsoonlanding/internal/core/gateway"
	"monsoonlanding/internal/wire/boundedtcp"
	"monsoonlanding/internal/wire/http1"
	"monsoonlanding/internal/wire/relayhttp"
)

const (
	// maxIdleRelayConns bounds the idle connections to a node that requests are passed on to.
	maxIdleRelayConns = 32
	// maxRetryAfter bounds the delay that a node names which refuses a request passed on to it.
	maxRetryAfter = time.Minute
)

// peerServer returns the server for peers: their messages, and the requests that they pass on.
func (r *Runner) peerServer(messages http.Handler) *http.Server {
	server := r.callerServer()
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if relayhttp.IsRelayed(req.Header) {
			r.serveRelayed(w, req)
			return
		}
		messages.ServeHTTP(w, req)
	})
	return server
}

// serveRelayed serves a request that another node has passed on.
func (r *Runner) serveRelayed(w http.ResponseWriter, req *http.Request) {
	request, ok := relayhttp.Parse(req.Header, r.cfg.Settings.Peers.Token)
	if !ok {
		boundedtcp.ConnOf(req.Context()).HeadRead(req.Header)
		boundedtcp.AbandonBody(http.NewResponseController(w))
		w.Header().Set("Connection", "close")
		r.log.Warn().Str("step", "relay").Str("from", req.RemoteAddr).Msg("request of another node rejected: token or attempts are invalid")
		http.Error(w, "relay: request is invalid", http.StatusUnauthorized)
		return
	}
	r.serveRequest(w, req, &core.Relayed{From: request.From, Attempts: request.Attempts})
}

// relayRequest returns the request for the node that an attempt is passed on to.
func (h *handler) relayRequest(d core.Dispatch, remaining time.Duration) *http1.Request {
	header := h.runner.cfg.Protocol.EncodeRelayed(h.r.Header, remaining, h.stream.lastID)
	s := h.runner.cfg.Settings
	relayhttp.Request{Token: s.Peers.Token, From: s.Name, Attempts: d.Relay.Attempts}.Set(header)
	return &http1.Request{
		ID: h.request.ID, Method: h.r.Method, Target: h.r.RequestURI, Host: h.r.Host, Header: header, Body: h.body,
		MaxIdle: maxIdleRelayConns, Hold: h.headLease.Grow,
	}
}

// classifyRelayed derives the result of an attempt from the answer of the node that it was
// passed on to. It returns true if the answer is an upstream's own.
func classifyRelayed(answer *http1.Answer, ended *core.Ended) (upstreams bool) {
	ended.Detail = "status " + strconv.Itoa(answer.Status())
	switch relayhttp.Take(answer.Header()) {
	case relayhttp.OutcomeAnswer:
		return true
	case relayhttp.OutcomeRefused:
		ended.Result, ended.RetryAfter = core.ResultRelayRefused, retryAfter(answer.Header())
	case relayhttp.OutcomeFailed:
		ended.Result = core.ResultBroken
	default:
		ended.Result = core.ResultMalformed
	}
	return false
}

// retryAfter returns the delay of a Retry-After header in seconds, 0 if there is none.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return min(time.Duration(min(seconds, maxRetryAfter.Seconds())*float64(time.Second)), maxRetryAfter)
}

// setOutcome tells the node that has passed the request on what its answer is.
func (h *handler) setOutcome(o relayhttp.Outcome) {
	if h.relayed != nil {
		o.Set(h.w.Header())
	}
}

// refusalOutcome returns what a refusal says about the request.
func refusalOutcome(reason core.Reason) relayhttp.Outcome {
	switch reason {
	case core.ReasonFailed, core.ReasonDeadlineExceeded:
		return relayhttp.OutcomeFailed
	default:
		return relayhttp.OutcomeRefused
	}
}

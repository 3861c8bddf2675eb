package gateway

import (
	"context"

	core "monsoonlanding/internal/core/gateway"
	"monsoonlanding/internal/core/placement"
	"monsoonlanding/internal/wire/http1"
)

// Exchange sends a request to an upstream and returns the head of its answer. It fails with
// http1.ErrWithheld if the upstream takes no requests from this node when the request is about
// to be written.
type Exchange func(ctx context.Context, u placement.Upstream, request *http1.Request) (*http1.Answer, error)

// exchange sends a call to an upstream. What this node sends to one goes through here or through
// exchangeDispatched.
func (r *Runner) exchange(ctx context.Context, u placement.Upstream, request *http1.Request) (*http1.Answer, error) {
	request.Admit = func() bool { return r.admits(u) }
	return r.pool.Do(ctx, u.Address, request)
}

// exchangeDispatched sends a caller's request to the upstream that it was dispatched to.
func (r *Runner) exchangeDispatched(ctx context.Context, d core.Dispatch, request *http1.Request) (*http1.Answer, error) {
	request.Admit = func() bool { return r.admitsRequest(d) }
	return r.pool.Do(ctx, d.Upstream.Address, request)
}

func (r *Runner) admitsRequest(d core.Dispatch) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.AdmitsRequest(r.cfg.Clock.Now(), d)
}

// admits reports whether an upstream takes requests from this node now.
func (r *Runner) admits(u placement.Upstream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Admits(r.cfg.Clock.Now(), u)
}

// probe opens a connection to an upstream, unless that has asked for a pause meanwhile.
func (r *Runner) probe(e core.ProbeUpstream) {
	if !r.admits(e.Upstream) {
		return
	}
	err := r.pool.Probe(r.ctx, e.Upstream.Address)
	if err != nil {
		r.log.Debug().Str("step", "paths").Str("upstream", e.Upstream.ID).Err(err).Msg("upstream not reached")
	}
	r.submit(core.UpstreamProbed{Upstream: e.Upstream.ID, Connected: err == nil})
}

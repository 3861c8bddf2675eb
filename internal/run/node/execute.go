package node

import (
	"context"
	"sync"

	"github.com/rs/zerolog"

	"monsoonlanding/internal/core/node"
	"monsoonlanding/internal/core/upstream"
	"monsoonlanding/internal/wire/operatorhttp"
)

// attempts holds the cancel functions of the attempts in progress.
type attempts struct {
	mu     sync.Mutex
	cancel map[uint64]context.CancelFunc
}

// execute executes an effect without blocking the reducer.
func (r *Runner) execute(e node.Effect) {
	switch e := e.(type) {
	case node.Reply:
		r.conns.send(e.Conn, e.Event)
	case node.Dispatch:
		r.dispatch(e)
	case node.CancelDispatch:
		r.cancelDispatch(e.Attempt)
	case node.Send:
		r.peers.Send(e.To, e.Address, e.Message)
	case node.ReadObject:
		r.group.Go(func() { r.readObject(e) })
	case node.WriteObject:
		r.group.Go(func() { r.writeObject(e) })
	case node.WatchObject:
		r.group.Go(func() { r.watchObject(e) })
	case node.ListUpstreams:
		r.group.Go(r.listUpstreams)
	case node.RemoveMember:
		r.group.Go(func() { r.removeRecord(e.ID) })
	case node.PollLoads:
		for _, u := range e.Upstreams {
			r.group.Go(func() { r.pollLoad(u) })
		}
	case node.RulesApplied:
		r.rulesApplied(e)
	case node.Count:
		countEffect(e)
	case node.Log:
		r.writeLog(e)
	}
}

func (r *Runner) dispatch(d node.Dispatch) {
	ctx, cancel := context.WithCancel(r.ctx)
	r.attempts.mu.Lock()
	r.attempts.cancel[d.Attempt] = cancel
	r.attempts.mu.Unlock()
	r.group.Go(func() {
		defer r.cancelDispatch(d.Attempt)
		r.upstreams.Run(ctx, d, func(e node.Event) {
			if ctx.Err() == nil {
				r.submit(e)
			}
		})
	})
}

func (r *Runner) cancelDispatch(attempt uint64) {
	r.attempts.mu.Lock()
	cancel := r.attempts.cancel[attempt]
	delete(r.attempts.cancel, attempt)
	r.attempts.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (r *Runner) readObject(e node.ReadObject) {
	ctx, cancel := context.WithTimeout(r.ctx, platformTimeout)
	defer cancel()
	o, err := r.objects.Get(ctx, e.Path)
	r.submit(node.ObjectRead{Call: e.Call, Object: o, Err: errorText(err)})
}

func (r *Runner) writeObject(e node.WriteObject) {
	ctx, cancel := context.WithTimeout(r.ctx, platformTimeout)
	defer cancel()
	revision, outcome := r.objects.Put(ctx, e.Path, e.IfRevision, e.Value)
	r.submit(node.ObjectWritten{Call: e.Call, Outcome: outcome, Revision: revision})
}

func (r *Runner) watchObject(e node.WatchObject) {
	ctx, cancel := context.WithTimeout(r.ctx, watchTimeout)
	defer cancel()
	o, err := r.objects.Watch(ctx, e.Path, e.After)
	r.submit(node.ObjectChanged{Path: e.Path, Object: o, Err: errorText(err)})
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (r *Runner) listUpstreams() {
	ctx, cancel := context.WithTimeout(r.ctx, platformTimeout)
	defer cancel()
	list, err := r.cloud.Upstreams(ctx)
	if err != nil {
		r.log.Debug().Str("step", "upstreams").Str("peer", "cloud").Err(err).Msg("cannot read the list of upstreams")
		return
	}
	r.submit(node.UpstreamsListed{List: list})
}

func (r *Runner) pollLoad(u upstream.Upstream) {
	ctx, cancel := context.WithTimeout(r.ctx, loadTimeout)
	defer cancel()
	load, err := r.upstreams.Load(ctx, u, r.cfg.Clock.Now())
	if err == nil {
		r.submit(node.UpstreamLoad{Upstream: u.ID, Load: load})
	}
}

func (r *Runner) rulesApplied(e node.RulesApplied) {
	r.pendingApplies.mu.Lock()
	outcome := r.pendingApplies.waiting[e.Call]
	delete(r.pendingApplies.waiting, e.Call)
	r.pendingApplies.mu.Unlock()
	if outcome != nil {
		outcome <- operatorhttp.ApplyResult{Outcome: e.Outcome, Revision: e.Revision, Problems: e.Problems, Text: e.Text}
	}
}

func (r *Runner) writeLog(e node.Log) {
	level := zerolog.InfoLevel
	if e.Level == node.LevelWarn {
		level = zerolog.WarnLevel
	}
	line := r.log.WithLevel(level).Str("step", e.Step)
	if e.Key != "" {
		line = line.Str("key", e.Key)
	}
	if e.Peer != "" {
		line = line.Str("peer", e.Peer)
	}
	line.Msg(e.Message)
}

package gateway

import (
	"github.com/rs/zerolog"

	"monsoonlanding/internal/core/fleet"
	core "monsoonlanding/internal/core/gateway"
	"monsoonlanding/internal/core/leader"
)

// Calls submit their result by a deferred function, so that the reducer, which waits for it, gets
// one also if the call panics.

// execute executes an effect. It is called under the lock and must not block.
func (r *Runner) execute(e core.Effect) {
	switch e := e.(type) {
	case core.Dispatch:
		r.enqueue(e.Conn, e)
	case core.Refuse:
		r.enqueue(e.Conn, e)
	case core.RelayError:
		r.enqueue(e.Conn, e)
	case core.Finish:
		r.enqueue(e.Conn, e)
	case core.Abort:
		r.enqueue(e.Conn, e)
	case core.Send:
		r.peers.Send(e.Node, e.Address, e.Message)
	case core.Count:
		count(e)
	case core.Observe:
		latencies[e.Timing].Observe(e.Route, e.Elapsed)
	case core.Log:
		r.writeLog(e)
	case core.Drained:
		close(r.drained)
	default:
		r.executeCall(e)
	}
}

// executeCall starts a call to the platform or to an engine.
func (r *Runner) executeCall(e core.Effect) {
	switch e := e.(type) {
	case core.ReadLease:
		r.goCall("read lease", r.readLease)
	case core.WriteLease:
		r.goCall("write lease", func() { r.writeLease(e) })
	case core.ReportUsage:
		r.goCall("report usage", func() { r.reportUsage(e) })
	case core.WriteRollout:
		r.goCall("write rollout", func() { r.writeRollout(e) })
	case core.Move:
		r.goCall("move", func() { r.move(e) })
	case core.OrderFleet:
		r.goCall("order", func() { r.orderFleet(e) })
	case core.RemoveNode:
		r.goCall("remove node", func() { r.removeNode(e) })
	case core.ProbeUpstream:
		r.goCall("probe", func() { r.probe(e) })
	case core.DropIdleConnections:
		r.pool.CloseIdle()
	case core.PackConfig:
		r.goCall("pack configuration", func() { r.packConfig(e) })
	case core.UnpackConfig:
		r.goCall("unpack configuration", func() { r.unpackConfig(e) })
	case core.ListFeed:
		r.relist(e.Feed)
	case core.RegisterNode:
		r.goCall("register", r.registerNode)
	case core.ReadQuarantine:
		r.goCall("read quarantine", r.readQuarantine)
	case core.WriteQuarantine:
		r.goCall("write quarantine", func() { r.writeQuarantine(e) })
	}
}

// enqueue queues an effect for the handler of a connection. It does not block:
// the channel holds all effects that can be pending at once.
func (r *Runner) enqueue(conn uint64, e core.Effect) {
	if h := r.handlers[conn]; h != nil {
		h.failed = h.failed || isFailure(e)
		h.effects <- e
	}
}

// isFailure reports whether an effect ends a request without a good answer.
func isFailure(e core.Effect) bool {
	switch e.(type) {
	case core.Dispatch, core.Finish:
		return false
	default:
		return true
	}
}

func (r *Runner) readLease() {
	read := core.LeaseRead{Result: leader.ResultUnknown}
	defer func() { r.submit(read) }()
	var err error
	read, err = r.cfg.Services.ReadLease(r.ctx)
	if err != nil {
		r.log.Warn().Str("step", "lease").Str("result", string(read.Result)).Err(err).Msg("lease not read")
	}
}

func (r *Runner) writeLease(e core.WriteLease) {
	written := core.LeaseWritten{Result: leader.ResultUnknown}
	defer func() { r.submit(written) }()
	var err error
	written, err = r.cfg.Services.WriteLease(r.ctx, e.Lease, e.IfRevision)
	if err != nil {
		r.log.Warn().Str("step", "lease").Str("result", string(written.Result)).Err(err).Msg("lease not written")
	}
}

func (r *Runner) reportUsage(e core.ReportUsage) {
	accepted := false
	defer func() { r.submit(core.UsageReported{Window: e.Report.Window, Accepted: accepted}) }()
	err := r.cfg.Services.ReportUsage(r.ctx, e.Report, e.Token)
	accepted = err == nil
	event := r.log.Info()
	if err != nil {
		event = r.log.Warn().Err(err)
	}
	event.Str("step", "usage").Int64("window", e.Report.Window).Interface("counts", e.Report.Counts).
		Int64("token", e.Token).Msg("usage reported")
}

func (r *Runner) move(e core.Move) {
	startedAt := r.cfg.Clock.Now()
	moved := core.Moved{Conn: e.Conn, Attempt: e.Attempt, Outcome: core.MoveUnknown}
	defer func() {
		moved.Source, moved.StartedAt = e.Source, startedAt
		r.submit(moved)
	}()
	var err error
	moved, err = r.cfg.Services.MoveRun(r.ctx, r.exchange, e)
	if err != nil {
		r.log.Warn().Str("step", "move").Str("request", e.Request).Str("source", e.Source.ID).Str("target", e.Target.ID).
			Str("outcome", string(moved.Outcome)).Err(err).Msg("run not moved")
	}
}

func (r *Runner) writeRollout(e core.WriteRollout) {
	written := core.RolloutWritten{Order: e.Order}
	defer func() { r.submit(written) }()
	var err error
	written, err = r.cfg.Services.WriteRollout(r.ctx, e.Order)
	if err != nil {
		r.log.Warn().Str("step", "rollout").Str("service", e.Order.Service).Str("state", string(e.Order.State)).
			Err(err).Msg("rollout state not written")
	}
}

func (r *Runner) orderFleet(e core.OrderFleet) {
	outcome := fleet.Unknown
	defer func() { r.submit(core.FleetOrdered{Order: e.Order, Outcome: outcome}) }()
	var err error
	outcome, err = r.cfg.Services.OrderFleet(r.ctx, e.Order, e.Token)
	if err != nil {
		r.log.Warn().Str("step", "fleet").Str("zone", e.Order.Zone).Bool("reclaimable", e.Order.Reclaimable).
			Int("count", e.Order.Count).Str("outcome", string(outcome)).Err(err).Msg("fleet order failed")
	}
}

func (r *Runner) removeNode(e core.RemoveNode) {
	if err := r.cfg.Services.RemoveNode(r.ctx, e.Node); err != nil {
		r.log.Warn().Str("step", "nodes").Str("peer", e.Node).Err(err).Msg("node entry not removed")
	}
}

func (r *Runner) registerNode() {
	s := r.cfg.Settings
	if err := r.cfg.Services.RegisterNode(r.ctx, s.Name, s.Listen.Peer); err != nil {
		r.log.Warn().Str("step", "nodes").Err(err).Msg("node not registered")
		return
	}
	r.log.Info().Str("step", "nodes").Msg("node registered")
}

func (r *Runner) readQuarantine() {
	var read core.QuarantineRead
	defer func() { r.submit(read) }()
	var err error
	read, err = r.cfg.Services.ReadQuarantine(r.ctx)
	if err != nil {
		r.log.Warn().Str("step", "quarantine").Err(err).Msg("quarantined parts not read")
	}
}

func (r *Runner) writeQuarantine(e core.WriteQuarantine) {
	done := false
	defer func() { r.submit(core.QuarantineWritten{Done: done}) }()
	err := r.cfg.Services.WriteQuarantine(r.ctx, e)
	done = err == nil
	if err != nil {
		r.log.Warn().Str("step", "quarantine").Err(err).Msg("quarantined parts not written")
	}
}

func (r *Runner) writeLog(e core.Log) {
	event := r.logger(e.Conn).Info().Str("step", e.Step)
	if e.Request != "" {
		event = event.Str("request", e.Request)
	}
	if e.Peer != "" {
		event = event.Str("peer", e.Peer)
	}
	event.Fields(e.Inputs).Msg(e.Message)
}

// logger returns the logger for lines about the request of a connection.
func (r *Runner) logger(conn uint64) *zerolog.Logger {
	if h := r.handlers[conn]; h != nil && h.lines != nil {
		return &h.lines.log
	}
	return &r.log
}

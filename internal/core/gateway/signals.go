package gateway

// recordSignals records what the upstream of the current attempt says of itself.
func (g *Gateway) recordSignals(r *request, s Signals) {
	if g.upstreams.RecordLimit(g.now, r.dispatchedAt, r.upstream, s.RateLimit) {
		g.log("limit", "limit of upstream changed", "upstream", r.upstream, "named", s.RateLimit.Named, "per_s", s.RateLimit.PerSecond)
	}
	if g.upstreams.RecordBrittle(g.now, r.dispatchedAt, r.upstream, s.Brittle) {
		g.log("limit", "brittleness of upstream changed", "upstream", r.upstream, "brittle", s.Brittle.Named, "rejections_per_s", s.Brittle.PerSecond)
	}
	if s.Pause > 0 {
		left := g.upstreams.RecordPause(g.now, r.upstream, s.Pause)
		g.log("pause", "upstream asks for a pause", "upstream", r.upstream, "request", r.req.ID, "attempt", r.attempt,
			"asked_ms", s.Pause.Milliseconds(), "left_ms", left.Milliseconds())
	}
	if s.Leaving {
		g.leaveAnnounced(r.process, g.cfg.Node)
	}
}

package gateway

import "monsoonlanding/internal/core/placement"

// recordBrittle records what the upstream of the current attempt says of its brittleness.
func (g *Gateway) recordBrittle(r *request, rejections placement.RateLimit) {
	if g.upstreams.RecordBrittle(g.now, r.dispatchedAt, r.upstream, rejections) {
		g.log("limit", "brittleness of upstream changed", "upstream", r.upstream, "brittle", rejections.Named, "rejections_per_s", rejections.PerSecond)
	}
}

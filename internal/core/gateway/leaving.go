package gateway

// recordLeaving records that the upstream of the current attempt says that it leaves.
func (g *Gateway) recordLeaving(r *request, leaving bool) {
	if !leaving || g.leaving[r.process] {
		return
	}
	g.leaving[r.process] = true
	g.log("upstream", "upstream says that it leaves", "upstream", r.upstream)
}

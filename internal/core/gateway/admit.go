package gateway

import "time"

// AdmitsRequest reports whether the upstream of a dispatched request still takes it now, when it is
// about to be written: the request may have waited for a connection, and the upstream may have
// left, asked for a pause or been replaced meanwhile.
func (g *Gateway) AdmitsRequest(now time.Time, d Dispatch) bool {
	if !g.Admits(now, d.Upstream) {
		return false
	}
	if d.From != (KVCache{}) {
		return g.mayContinueAt(now, d.Upstream)
	}
	return g.upstreams.TakesNew(d.Upstream)
}

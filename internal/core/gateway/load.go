package gateway

import "monsoonlanding/internal/core/placement"

// Labels of CountLoad.
const (
	// loadTaken: an upstream has reported its load.
	loadTaken = "taken"
	// loadSlowdown: the report also says how long work takes there.
	loadSlowdown = "slowdown"
	// loadInvalid: a part of the report can't be read.
	loadInvalid = "invalid"
)

// LoadLabels lists the labels of CountLoad.
func LoadLabels() []string { return []string{loadTaken, loadSlowdown, loadInvalid} }

// recordLoad records the load that an upstream reports in the head of an answer. A report is as
// old as the head: the end of a long stream makes it no newer.
func (g *Gateway) recordLoad(u placement.Upstream, s Signals) {
	if s.LoadError != nil {
		g.count(CountLoad, loadInvalid)
		if g.upstreams.RecordInvalidReport(u.ID) {
			g.log("load", "load of upstream can't be read", "upstream", u.ID, "problem", s.LoadError.Error())
		}
	}
	if s.Load == nil {
		return
	}
	g.count(CountLoad, loadTaken)
	if s.Load.Slowdown > 0 {
		g.count(CountLoad, loadSlowdown)
		g.logSlowdown(u)
	}
	at := s.ReceivedAt
	if at.IsZero() || at.After(g.now) {
		at = g.now
	}
	g.upstreams.RecordReport(at, u.ID, placement.Report(*s.Load))
}

// logSlowdown logs the first upstream of each service that reports how long work takes there.
func (g *Gateway) logSlowdown(u placement.Upstream) {
	if g.reportsSlowdown[u.Service] {
		return
	}
	g.reportsSlowdown[u.Service] = true
	g.log("load", "upstreams of service report how long work takes", "service", u.Service, "upstream", u.ID)
}

package gateway

import "time"

// capacityCheckInterval is the interval between two checks for changes of upstreams' capacity.
const capacityCheckInterval = time.Second

// logCapacities logs the upstreams of which has changed how much they are held to take well.
func (g *Gateway) logCapacities() {
	if g.now.Before(g.logCapacitiesAt) {
		return
	}
	g.logCapacitiesAt = g.now.Add(capacityCheckInterval)
	for _, c := range g.upstreams.CapacityChanges(g.now) {
		g.log("capacity", "learned capacity of upstream changed", "upstream", c.Upstream, "factor", c.Factor,
			"takes", c.Takes, "slots", c.Slots, "samples", c.Samples, "age_ms", c.AgeMs)
	}
}

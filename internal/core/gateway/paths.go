package gateway

import "time"

// paths is what a node knows of its paths to the upstreams, by the connections that it opens.
// Connections that were open before say nothing: they may live on while new ones fail.
type paths struct {
	// failed holds the upstreams to which no connection could be opened since one could be
	// opened to any. The first of them failed at failingSince.
	failed       map[string]bool
	failingSince time.Time
	// reachedAt is when an upstream has last answered.
	reachedAt time.Time
}

// suspectAfter is the number of upstreams to which connections fail in a row from which on the
// node's own paths may be the cause.
const suspectAfter = 2

// recordConnect records what became of the connection of the request's current attempt.
func (g *Gateway) recordConnect(r *request, c Connect) {
	switch c {
	case ConnectReused:
		g.paths.reachedAt = g.now
	case ConnectOpened:
		g.paths.reachedAt = g.now
		g.connectOpened()
	case ConnectFailed:
		g.connectFailed(r.upstream)
	}
}

func (g *Gateway) connectOpened() { clear(g.paths.failed) }

func (g *Gateway) connectFailed(upstream string) {
	p := &g.paths
	if len(p.failed) == 0 {
		p.failingSince = g.now
	}
	known := p.failed[upstream]
	p.failed[upstream] = true
	if !known && len(p.failed) >= suspectAfter {
		g.log("paths", "connections to upstreams fail in a row", "upstreams", len(p.failed), "zones", g.zonesOf(p.failed),
			"listed", len(g.upstreams.All()), "since_ms", g.now.Sub(p.failingSince).Milliseconds())
	}
}

// zonesOf returns the number of zones of upstreams.
func (g *Gateway) zonesOf(upstreams map[string]bool) int {
	zones := make(map[string]bool)
	for id := range upstreams {
		if u, ok := g.upstreams.Get(id); ok {
			zones[u.Zone] = true
		}
	}
	return len(zones)
}

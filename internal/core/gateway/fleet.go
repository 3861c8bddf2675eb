package gateway

import (
	"math"
	"time"

	"monsoonlanding/internal/core/fleet"
	"monsoonlanding/internal/core/placement"
)

const (
	// workMemory is the time over which the work of requests is averaged.
	workMemory = 5 * time.Second
	// rolloutSettle is how long after a verdict upstreams of the other version
	// may still be there.
	rolloutSettle = 10 * time.Second
	// fleetSettle is how long a node watches the load before it orders, as a
	// new process knows neither the load nor its peers.
	fleetSettle = 1500 * time.Millisecond
)

// workMeter averages the engines' time that a node's requests take.
type workMeter struct {
	// level decays with workMemory; level/workMemory is the engines in use.
	level time.Duration
	at    time.Time
}

func (w *workMeter) decay(now time.Time) {
	if passed := now.Sub(w.at); passed > 0 {
		w.level = time.Duration(float64(w.level) * math.Exp(-float64(passed)/float64(workMemory)))
		w.at = now
	}
}

func (w *workMeter) add(now time.Time, work time.Duration) {
	w.decay(now)
	w.level += work
}

// engines returns the number of engines that the work keeps busy.
func (w *workMeter) engines(now time.Time) float64 {
	w.decay(now)
	return float64(w.level) / float64(workMemory)
}

// addWork counts the work of a request that has arrived, whether or not it
// finds an engine.
func (g *Gateway) addWork(r *request) {
	service, ok := g.table.Service(r.service)
	if !ok || service.Engine == nil {
		return
	}
	w := g.work[r.service]
	if w == nil {
		w = &workMeter{at: g.now}
		g.work[r.service] = w
	}
	w.add(g.now, engineWork(r.req.Prompt, g.upstreams.Speed(r.service)))
}

// workOf adds up the work that all nodes have for a service.
func (g *Gateway) workOf(service string) float64 {
	sum := 0.0
	if w := g.work[service]; w != nil {
		sum = w.engines(g.now)
	}
	for _, m := range g.members {
		if !g.heard(m) {
			continue
		}
		for _, w := range m.status.Work {
			if w.Service == service {
				sum += w.Engines
			}
		}
	}
	return sum
}

// orderFleet orders upstreams where the number wanted has changed.
func (g *Gateway) orderFleet() {
	if !g.cfg.Bounds.OrdersFleet || !g.listed || g.storeDown || g.now.Sub(g.started) < fleetSettle {
		return
	}
	for _, s := range g.table.Services() {
		if s.Scaling == nil {
			continue
		}
		p := g.fleets[s.Name]
		if p == nil {
			p = fleet.New(s.Name, *s.Scaling)
			g.fleets[s.Name] = p
		}
		p.SetScaling(*s.Scaling)
		g.orderNext(p, s.Name)
	}
}

func (g *Gateway) orderNext(p *fleet.Planner, service string) {
	view := fleet.View{Upstreams: g.upstreams.All(), Work: g.workOf(service), Keep: g.rollingOut(service)}
	if !p.Wants(g.now, view) {
		return
	}
	if !g.keeper.Holds(g.now) {
		if step, ok := g.keeper.Renew(g.now, nil); ok {
			g.leaseStep(step)
		}
		return
	}
	order, ok := p.Next(g.now, view)
	if !ok {
		return
	}
	g.log("fleet", "ordering upstreams", "service", service, "zone", order.Zone, "reclaimable", order.Reclaimable,
		"count", order.Count, "work", view.Work, "token", g.keeper.Token())
	g.emit(OrderFleet{Order: order, Token: g.keeper.Token()})
}

// rollingOut reports whether a roll-out of the service is open or has ended
// so lately that upstreams of both versions may be there.
func (g *Gateway) rollingOut(service string) bool {
	r := g.rollouts[service]
	return r != nil && (r.order.Open() || g.now.Sub(r.endedAt) < rolloutSettle)
}

func (g *Gateway) fleetOrdered(e FleetOrdered) {
	g.count(CountDuty, "fleet_"+string(e.Outcome))
	if p := g.fleets[e.Order.Service]; p != nil {
		p.Done(g.now, e.Order, e.Outcome)
	}
}

// cachedShare is the part of the shared prompt tokens that engines usually keep.
const cachedShare = 0.7

// engineWork returns the engine time that a prompt usually takes.
func engineWork(p placement.Prompt, speed placement.Speed) time.Duration {
	missing := float64(p.Input) - cachedShare*float64(p.SharedTokens())
	return speed.ReadTime(int(missing)) + time.Duration(p.ExpectedOutput())*speed.TokenCost
}

package gateway

import (
	"math"
	"time"

	"monsoonlanding/internal/core/average"
	"monsoonlanding/internal/core/fleet"
	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/placement"
	"monsoonlanding/internal/core/route"
)

const (
	// workDecay is the time constant of the moving average of engine work,
	// recentWorkDecay that of the one that shows a surge.
	workDecay       = 5 * time.Second
	recentWorkDecay = time.Second
	// minSurgeRatio is the least ratio of recent work to its average at which it
	// counts as a surge.
	minSurgeRatio = 1.3
	// surgeDeviations is the number of standard deviations of irregular arrivals by
	// which recent work exceeds its average in a surge; workVariance is the variance
	// of the work of single requests, relative to the square of its mean.
	surgeDeviations = 3
	workVariance    = 2
	// rolloutCooldown is the duration after a verdict in which upstreams of the
	// other version may still exist.
	rolloutCooldown = 10 * time.Second
	// orderReportDivisor divides the status interval to give the delay after which an accepted
	// order is reported to the peers.
	orderReportDivisor = 4
	// fleetStartDelay is the time for which a new process observes the load
	// before it orders upstreams. At first it knows neither the load nor its
	// peers.
	fleetStartDelay = 1500 * time.Millisecond
	// returnCooldown is the duration after an evacuation has ended in which no upstream is
	// released: those of the zone may have to warm up.
	returnCooldown = 30 * time.Second
)

// addWork counts the work of a request that has arrived, whether or not an
// engine has capacity for it.
func (g *Gateway) addWork(r *request) {
	service, ok := g.table.Service(r.service)
	if !ok || service.Engine == nil {
		return
	}
	w := g.work[r.service]
	if w == nil {
		w = &serviceWork{
			average:  average.Rate{Decay: workDecay},
			recent:   average.Rate{Decay: recentWorkDecay},
			requests: average.Rate{Decay: workDecay},
		}
		g.work[r.service] = w
	}
	units := engineWork(r.req.Prompt, g.upstreams.Speed(r.service)).Seconds()
	w.average.Add(g.now, units)
	w.recent.Add(g.now, units)
	w.requests.Add(g.now, 1)
}

// serviceWork averages the engine time of this node's requests to a service, and their number.
type serviceWork struct {
	average, recent, requests average.Rate
	// surge is the latest surge of all nodes' work.
	surge surge
}

// totalWork returns the work of all nodes for a service, as a number of engines: the average, and
// the recent work during a surge, which fades as the average follows. It records a surge that it
// finds. Upstreams take seconds to start, so a surge counts before the average shows it. A node
// that has had no request for the service itself finds none.
func (g *Gateway) totalWork(service string) (sum, surge float64) {
	w := g.work[service]
	recent := 0.0
	if w != nil {
		sum, recent = w.average.PerSecond(g.now), w.recent.PerSecond(g.now)
	}
	for _, m := range g.members {
		if !g.inContact(m) {
			continue
		}
		for _, w := range m.status.EngineLoad {
			if w.Service == service {
				sum += w.Engines
				recent += w.Recent
			}
		}
	}
	if w == nil {
		return sum, 0
	}
	requests := w.requests.PerSecond(g.now) * float64(g.contactCount(silentIntervals))
	if recent > surgeRatio(requests)*sum {
		w.surge.record(g.now, recent)
	}
	return sum, w.surge.value(g.now)
}

// surgeRatio returns the ratio of recent work to its average above which irregular arrivals of that
// many requests a second don't explain it.
func surgeRatio(requests float64) float64 {
	return max(minSurgeRatio, 1+surgeDeviations*math.Sqrt(workVariance/max(requests, 1)))
}

// surge is the work of a surge, which fades as its average follows. A dip of a second thus doesn't
// stop upstreams that are starting.
type surge struct {
	work float64
	at   time.Time
}

// record records work, unless more of an earlier moment still counts.
func (s *surge) record(now time.Time, work float64) {
	if work >= s.value(now) {
		s.work, s.at = work, now
	}
}

func (s *surge) value(now time.Time) float64 {
	return s.work * math.Exp(-float64(now.Sub(s.at))/float64(workDecay))
}

// orderFleet orders upstreams for each scaled service whose desired number has
// changed.
func (g *Gateway) orderFleet() {
	if !g.cfg.Bounds.OrdersFleet || !g.upstreamsRead || g.storeDown || g.now.Sub(g.started) < fleetStartDelay {
		return
	}
	for _, s := range g.table.Services() {
		if s.Scaling != nil {
			g.orderUpstreams(g.planner(s), s.Name)
		}
	}
}

// fleetObserveInterval is the interval at which nodes without the lease observe the fleets.
const fleetObserveInterval = time.Second

// observeFleet observes demand and reclaims on a node that doesn't hold the lease, so that it
// knows them if it takes over during reclaims.
func (g *Gateway) observeFleet() {
	if !g.cfg.Bounds.OrdersFleet || !g.upstreamsRead || g.now.Sub(g.fleetObservedAt) < fleetObserveInterval {
		return
	}
	g.fleetObservedAt = g.now
	for _, s := range g.table.Services() {
		if s.Scaling != nil {
			g.planner(s).Observe(g.now, g.fleetView(s.Name))
		}
	}
}

// planner returns the planner of a service, with its current scaling.
func (g *Gateway) planner(s route.Service) *fleet.Planner {
	p := g.planners[s.Name]
	if p == nil {
		p = fleet.New(s.Name, *s.Scaling)
		g.planners[s.Name] = p
	}
	p.SetScaling(*s.Scaling)
	return p
}

// fleetOrderOpen reports whether an order of upstreams has not been answered.
func (g *Gateway) fleetOrderOpen() bool {
	for _, p := range g.planners {
		if p.OrderOpen() {
			return true
		}
	}
	return false
}

// fleetView returns the state of a service for its planner.
func (g *Gateway) fleetView(service string) fleet.View {
	work, surge := g.totalWork(service)
	return fleet.View{
		Upstreams: g.upstreams.All(), BusyEngines: work, Surge: surge, Evacuated: g.evacuations.Zones(),
		KeepAll: g.rollingOut(service) || g.zoneReturned(),
	}
}

func (g *Gateway) orderUpstreams(p *fleet.Planner, service string) {
	view := g.fleetView(service)
	if !p.HasOrder(g.now, view) {
		return
	}
	if !g.lease.MayCallPlatform(g.now) {
		if call, ok := g.lease.Renew(g.now, nil); ok {
			g.emitStoreCall(call)
		}
		return
	}
	order, ok := p.Next(g.now, view)
	if !ok {
		return
	}
	g.log("fleet", "ordering upstreams", "service", service, "zone", order.Zone, "reclaimable", order.Reclaimable,
		"count", order.Count, "work", view.BusyEngines, "surge", view.Surge, "token", g.lease.FencingToken())
	g.emit(OrderFleet{Order: order, Token: g.lease.FencingToken()})
}

// rollingOut reports whether a rollout of the service is open or ended within
// rolloutCooldown, so that upstreams of both versions may exist.
func (g *Gateway) rollingOut(service string) bool {
	r := g.rollouts[service]
	return r != nil && (r.order.Open() || g.now.Sub(r.endedAt) < rolloutCooldown)
}

// zoneReturned reports whether an evacuation has ended within returnCooldown.
func (g *Gateway) zoneReturned() bool {
	return !g.zoneReturnedAt.IsZero() && g.now.Sub(g.zoneReturnedAt) < returnCooldown
}

// fleetOrdered processes the platform's answer to an order.
func (g *Gateway) fleetOrdered(e FleetOrdered) {
	g.count(CountDuty, "fleet_"+string(e.Outcome))
	switch e.Outcome {
	case fleet.Accepted:
		g.scheduleBroadcast(g.interval() / orderReportDivisor)
	case fleet.Unknown:
		g.callFailedAt = g.now
	case fleet.Refused:
	}
	if p := g.planners[e.Order.Service]; p != nil {
		p.RecordOutcome(g.now, e.Order, e.Outcome)
	}
}

// acceptedOrders returns the orders of this node whose upstreams may still be starting, for its
// peers: one of them may be the next to order.
func (g *Gateway) acceptedOrders() []peer.FleetOrder {
	var list []peer.FleetOrder
	for _, s := range g.table.Services() {
		p := g.planners[s.Name]
		if p == nil {
			continue
		}
		for _, o := range p.Accepted(g.now) {
			list = append(list, peer.FleetOrder{Service: o.Service, Zone: o.Zone, Reclaimable: o.Reclaimable, Count: o.Count, Age: g.now.Sub(o.At)})
		}
	}
	return list
}

// noteOrders notes the orders that a status of the lease holder, or of one that has resigned, reports.
func (g *Gateway) noteOrders(status peer.Status) {
	if max(status.LeaseToken, status.ResignedToken) < g.lease.FencingToken() {
		return
	}
	for _, o := range status.Orders {
		s, ok := g.table.Service(o.Service)
		if !ok || s.Scaling == nil || o.Count < 0 || o.Age < 0 {
			continue
		}
		order := fleet.Order{Service: o.Service, Zone: o.Zone, Reclaimable: o.Reclaimable, Count: o.Count}
		g.planner(*s).NoteAccepted(fleet.AcceptedOrder{Order: order, At: g.now.Add(-o.Age)})
	}
}

// cachedFraction is the fraction of the shared prompt tokens that engines
// usually have cached.
const cachedFraction = 0.7

// engineWork returns the engine time that a prompt usually takes.
func engineWork(p placement.Prompt, speed placement.Speed) time.Duration {
	uncached := float64(p.InputTokens) - cachedFraction*float64(p.SharedTokens())
	return speed.PrefillTime(int(uncached)) + time.Duration(p.ExpectedOutput())*speed.TokenCost
}

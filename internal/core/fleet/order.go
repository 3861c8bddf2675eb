package fleet

import "time"

// Order sets the number of upstreams of one kind in one zone.
type Order struct {
	Service     string
	Zone        string
	Reclaimable bool
	Count       int
}

// Outcome is the platform's answer to an order.
type Outcome string

// Outcomes of orders.
const (
	Accepted Outcome = "accepted"
	// Refused: no upstreams are currently available.
	Refused Outcome = "refused"
	// Unknown: no answer.
	Unknown Outcome = "unknown"
)

// orderState is the state of the orders for a segment.
type orderState struct {
	// count is the number of upstreams in the latest accepted order, which was
	// accepted at acceptedAt.
	count      int
	acceptedAt time.Time
	// retryAt is when a refused or unanswered order may be retried.
	retryAt time.Time
	// valid reports whether the accepted order still applies; a reclaim
	// invalidates it.
	valid bool
}

// expected returns the number of a segment's upstreams, including those that
// were ordered and may still be starting.
func (p *Planner) expected(now time.Time, s segment, ready int) int {
	o := p.orders[s]
	if o == nil || !p.pending(now, o) {
		return ready
	}
	return o.count
}

// AcceptedOrder is an order that the platform has accepted, at a time.
type AcceptedOrder struct {
	Order
	At time.Time
}

// Accepted returns the accepted orders whose upstreams may still be starting, in order of zone.
func (p *Planner) Accepted(now time.Time) []AcceptedOrder {
	var list []AcceptedOrder
	for _, s := range p.segments() {
		if o := p.orders[s]; o != nil && p.pending(now, o) {
			order := Order{Service: p.service, Zone: s.zone, Reclaimable: s.reclaimable, Count: o.count}
			list = append(list, AcceptedOrder{order, o.acceptedAt})
		}
	}
	return list
}

// NoteAccepted notes an order that another holder of the lease has sent, unless a later one is
// known. Without it a successor would take upstreams that are starting for missing, and an order
// of fewer would stop them.
func (p *Planner) NoteAccepted(a AcceptedOrder) {
	s := segment{zone: a.Zone, reclaimable: a.Reclaimable}
	o := p.orders[s]
	if o == nil {
		o = &orderState{}
		p.orders[s] = o
	}
	if p.pending(a.At, o) && a.Count == o.count {
		// The same order, reported a moment later.
		return
	}
	if a.At.After(o.acceptedAt) && a.At.After(p.reclaimedAt(s)) {
		o.count, o.acceptedAt, o.valid = a.Count, a.At, true
	}
}

// reclaimedAt returns when reclaimable upstreams of the segment were last reclaimed.
func (p *Planner) reclaimedAt(s segment) time.Time {
	if !s.reclaimable {
		return time.Time{}
	}
	return p.shortageAt[s.zone]
}

// pending reports whether an accepted order's upstreams may still be starting.
func (p *Planner) pending(now time.Time, o *orderState) bool {
	return o.valid && now.Sub(o.acceptedAt) <= p.scaling.StartTime+startMargin
}

// order returns the order for a segment, if its expected number of upstreams
// differs from the wanted one and no back-off applies.
func (p *Planner) order(now time.Time, s segment, wanted, ready int) (Order, bool) {
	o := p.orders[s]
	if o == nil {
		o = &orderState{}
		p.orders[s] = o
	}
	if now.Before(o.retryAt) || p.expected(now, s, ready) == wanted {
		return Order{}, false
	}
	return Order{Service: p.service, Zone: s.zone, Reclaimable: s.reclaimable, Count: wanted}, true
}

// RecordOutcome handles the outcome of an order.
func (p *Planner) RecordOutcome(now time.Time, order Order, outcome Outcome) {
	p.orderOpen = false
	o := p.orders[segment{zone: order.Zone, reclaimable: order.Reclaimable}]
	if o == nil {
		return
	}
	switch outcome {
	case Accepted:
		o.count, o.acceptedAt, o.valid = order.Count, now, true
	case Refused:
		o.retryAt = now.Add(refusedBackoff)
		if order.Reclaimable {
			p.shortageAt[order.Zone] = now
		}
	case Unknown:
		o.retryAt = now.Add(unansweredBackoff)
	}
}

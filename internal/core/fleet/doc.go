// Package fleet decides the number of upstreams of a service in each
// availability zone, reclaimable and on-demand.
//
// # Load pattern
//
// Load varies within tens of seconds. All reclaimable upstreams of a zone are
// reclaimed together with a few seconds' notice, sometimes in two zones in
// quick succession. None are available for some time after that. A reclaimable
// upstream costs a fraction of an on-demand one. The fleet thus consists of
// reclaimable upstreams spread over the zones, with enough capacity to serve
// the load after the loss of any one zone. Beyond that, on-demand upstreams
// replace missing capacity until reclaimable ones are available again.
//
// # Orders
//
// An order sets the number of upstreams of one kind in one zone. Orders are
// sent one at a time. A refused or unanswered order is retried after a
// back-off; the retry is idempotent, because an order gives an absolute
// number.
//
// # Usage
//
//	p := fleet.New("plans", scaling)
//	order, ok := p.Next(now, fleet.View{Upstreams: list, BusyEngines: 3.2})
//	p.RecordOutcome(now, order, fleet.Accepted)
package fleet

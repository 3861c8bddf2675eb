// Package gateway makes all decisions of a node that stands between callers and
// upstreams. Callers connect to the node; the platform lists the upstreams.
//
// Reduce takes the time and an event and returns effects. It does no I/O,
// starts no goroutine and reads no clock, and its random numbers come from the
// generator given to New. Bodies of requests and answers do not pass through it.
//
// # Life cycle of a request
//
// A request is matched to a route and a team, its cost is taken from the team's
// quota, and it is dispatched to an upstream at once or waits in its service's
// queue. The handler of the caller's connection relays the answer and reports
// how the attempt ended.
//
//	waiting -> running -> ended
//	   ^  retry  |
//	   +---------+
//
// A request is retried only if it did not run, or if its route allows it to run
// again. Each retry is taken from the service's retry budget.
//
// # Refusals
//
// Status 429 and 503 are returned only for requests that have not run. A request
// that may have run ends with 502 or 504. A request that cannot be served in
// time is refused as soon as that is known, with a delay after which to retry.
//
// # Other nodes
//
// Nodes send each other a status several times per second. It contains the work
// that the node has placed at the upstreams, the quota that it has spent and the
// version of its configuration. A node that missed a configuration fetches it
// from a peer.
//
// # Requests that crash upstreams
//
// An attempt that breaks before its answer has gone on for a while is evidence that
// its request crashes upstreams: by its content or by a part of its prompt. Package
// quarantine judges the evidence of all nodes.
//
// # Usage
//
//	g := gateway.New(gateway.Config{Node: "vm-1", ...}, rng)
//	for _, effect := range g.Reduce(now, gateway.Arrived{Conn: 1, Request: r}) {
//		execute(effect)
//	}
//
// Reduce must receive a Tick every TickInterval.
package gateway

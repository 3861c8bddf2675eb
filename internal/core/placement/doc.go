// Package placement chooses the upstream that a request is sent to.
//
// # Load
//
// A Set tracks the requests that this node runs at each upstream and adds the
// load that peers report for theirs. For model engines the load is the number
// of prompt tokens not yet prefilled, the number of requests in the batch and
// their KV cache memory; for plain services it is the number of requests.
//
// # Choice
//
// Each candidate gets a cost: the expected time of the request there, less the
// time at an idle upstream that is in the node's own zone and has the shared
// prompt parts in its KV cache. The engine that a rendezvous hash selects for
// a part counts as having it cached, so that all nodes prefer the same engine
// and a part is prefilled only once. Errors raise the cost, and consecutive
// connection failures eject an upstream until its back-off ends.
//
// # Reports
//
// An upstream may report its own counts of requests and how long work takes there now. While a
// report is fresh, its counts correct the sum of what nodes have reported, and the slowdown scales
// the expected time of requests there, relative to the fastest upstream.
//
// # Limits
//
// An upstream may name a limit of requests a second from all nodes together. A node
// sends it no more than its own share, by whatever way the request goes. A brittle upstream,
// which falls over if it must turn too many requests away, gets no more from each node than the
// node's part of its slots.
//
// # Pauses
//
// An upstream that turns a request away may ask this node for a pause. Until its last pause
// ends, nothing of this node goes there, also if all others are ejected. Pick keeps to that;
// whoever sends without Pick asks Admits. A pause belongs to the process that asked for it. After
// it one request is on trial, until an answer to it shows that the upstream takes requests.
// Upstreams in evacuated availability zones get nothing in the same way.
//
// # Cold upstreams
//
// An upstream that has just started, or has lost its caches, tolerates few requests a second until
// its cold time ends. Meanwhile a node sends it no more than its share, from a bucket that starts
// empty, and prefers the others by Query.ColdCost. Whoever sends without Pick asks ColdWait.
//
// # Speed
//
// The prefill rate of a service's engines differs between deployments. It is
// estimated from the latency between a request's dispatch and its first event.
//
// # Learned capacity
//
// If the set learns, the times of answers show how fast each upstream is compared with its
// service, and up to how many requests it keeps to the goals of their routes (package capacity).
// Nodes share the samples that differ from the usual. A slower upstream costs more; one that runs
// as many requests as it takes well gets others only if no other upstream has room.
//
// # Usage
//
//	s := placement.New("node-a", "zone-1", placement.LeastTime, shares, rng)
//	s.Put(u)
//	u, ok := s.Pick(now, placement.Query{Service: "plans", Prompt: prompt})
//	s.RecordStart(now, u.ID, 7, prompt)
//	s.RecordPrefillDone(now, u.ID, 7)
//	s.RecordEnd(now, u.ID, 7, placement.Succeeded)
package placement

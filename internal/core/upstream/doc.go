// Package upstream selects the upstream for a request and bounds retries.
//
// # Selection
//
// Set holds the known upstreams of all services with their latest load report
// and the number of dispatches since. Pick compares a random sample of the
// upstreams and selects the one with the lowest expected load per slot. The
// sample prevents nodes that share a stale report from all selecting the same
// upstream. An upstream that served the same prompt prefix before gets a
// discount for its cached prefill.
//
// # Ejection
//
// Consecutive failures eject an upstream for a duration that doubles with each
// ejection. At most a third of a version's upstreams are ejected at the same
// time.
//
// # Poison requests
//
// PoisonDetector counts upstream crashes per request content that was running. A
// content is suspected after one crash and quarantined after two.
// Crashes of several upstreams of one zone within a short time count as a
// failure of the zone and cause no suspicion.
//
// # Usage
//
//	s := upstream.New("node-1", rng)
//	s.Replace(now, list)
//	u, ok := s.Pick(now, upstream.Query{Service: "plans", Version: "v1"})
//	s.RecordStart(u.ID)
//	s.RecordEnd(now, u.ID, upstream.DispatchSucceeded)
package upstream

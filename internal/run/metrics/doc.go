// Package metrics serves the expvar variables of a process as plain text, and
// provides latency histograms as such variables.
//
// # Text page
//
// [Page] writes one value per line. The name of a value within an object is the
// path to it, joined by dots:
//
//	gateway_refusals.quota 12
//	gateway_began.plan.p95_ms 840
//
// # Histograms
//
// A [Latencies] is an expvar variable that holds a histogram per name, such as
// a route's:
//
//	began := metrics.NewLatencies()
//	expvar.Publish("gateway_began", began)
//	began.Observe("plan", 310*time.Millisecond)
package metrics

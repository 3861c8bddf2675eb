// Package metrics serves what a process counts as plain text, and keeps
// latency histograms by name.
//
// # Text page
//
// [Page] writes each expvar variable of the process, one value a line, the
// parts of nested ones joined by dots:
//
//	gateway_refusals.quota 12
//	gateway_first_event.plan.p95_ms 840
//
// # Histograms
//
// A [Latencies] is an expvar variable with a histogram for each name, such as
// a route:
//
//	first := metrics.NewLatencies()
//	expvar.Publish("gateway_first_event", first)
//	first.Observe("plan", 310*time.Millisecond)
package metrics

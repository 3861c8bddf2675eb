// Package capacity estimates how much work each upstream of a service takes well, from the times
// that its answers take.
//
// # Speed
//
// A [Sample] has the time of an answer as a multiple of the service's usual time for the same work
// at the same load. An [Estimator] averages the samples of one upstream's process. A [Group] holds
// the estimators of a service and compares each with their median: if all are slow at once, that is
// a load, and none of them counts as slow.
//
// # Room
//
// Samples that miss their route's goal at an upstream that is slower than the others lower its
// room, the fraction of its slots up to which it takes work well. Samples in time at the edge of
// the room raise it.
//
// The package has no I/O and no goroutines. Times are passed in; samples may arrive late and in
// any order.
//
// # Usage
//
//	var g capacity.Group
//	e := g.Add()
//	e.Observe(now, capacity.Sample{At: now, Stretch: 1.9, Weight: 1, Load: 0.3})
//	g.Refresh(now)
//	factor, room := e.Factor(), e.Room()
package capacity

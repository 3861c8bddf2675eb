package emulator

import (
	"slices"
	"time"

	"monsoonlanding/internal/core/gateway"
)

// Report is the outcome of a run as callers and engines observe it.
type Report struct {
	// Kinds is by route, Teams by team; each counts callers, not submissions.
	Kinds, Teams map[string]*Tally
	// RouteLatencies holds the times from the first submission to the beginning of the answer, by
	// route.
	RouteLatencies map[string][]time.Duration
	// Refusals counts refused submissions by reason.
	Refusals map[gateway.Reason]int
	// RefusedWithCapacity counts refusals for overload while more than half of
	// the engines' slots were free and no engine was prefilling.
	RefusedWithCapacity int
	// WronglySuspected counts requests that were refused as suspect although their
	// own content had broken at fewer than two upstreams.
	WronglySuspected int
	// MaxRefusalDelay is the longest time from a submission to its refusal, as
	// a fraction of the latency goal.
	MaxRefusalDelay float64
	// MaxRefusalDelayInPause is the same for requests that no upstream has been offered, from the
	// time on at which all upstreams of the service have asked the node for pauses that last.
	MaxRefusalDelayInPause float64
	// Prefilled counts the prompt tokens that engines prefilled, Recomputed
	// those of shared parts that this engine or another had prefilled before.
	Prefilled, Recomputed int
	// Cut is about the callers during the pattern's UpstreamCut.
	Cut CutReport
	// Violations lists the guarantees that were violated.
	Violations []string
	// Latencies holds the latency to the first event of each answer.
	Latencies []time.Duration
	// Seconds counts callers by the second of their arrival.
	Seconds []Tally
}

// Value returns the value of all answers as a fraction of the value if all
// callers were answered in time.
func (r *Report) Value() float64 {
	earned, maximum := 0.0, 0.0
	for _, t := range r.Kinds {
		maximum += t.Value * float64(t.Callers)
		earned += t.Value * (float64(t.InTime) + lateValue*float64(t.Late))
	}
	return earned / max(maximum, 1)
}

// P99 returns the time within which 99 in 100 of the answers of a route have begun.
func (r *Report) P99(route string) time.Duration {
	sorted := slices.Sorted(slices.Values(r.RouteLatencies[route]))
	if len(sorted) == 0 {
		return 0
	}
	return sorted[len(sorted)*99/100]
}

// Tally counts callers by outcome.
type Tally struct {
	Callers, InTime, Late, Refused, Failed int
	// Value is the value of an answer in time. It is set if all callers are of
	// one kind.
	Value float64
}

// InTimeFraction returns the fraction of the callers whose answer began in time.
func (t *Tally) InTimeFraction() float64 {
	if t.Callers == 0 {
		return 1
	}
	return float64(t.InTime) / float64(t.Callers)
}

// Total returns the sum of the counts over all kinds.
func (r *Report) Total() Tally {
	var total Tally
	for _, t := range r.Kinds {
		total.Callers += t.Callers
		total.InTime += t.InTime
		total.Late += t.Late
		total.Refused += t.Refused
		total.Failed += t.Failed
	}
	return total
}

// WorstInTime returns the lowest fraction of callers answered in time over any
// five consecutive seconds.
func (r *Report) WorstInTime() float64 {
	const windowSeconds = 5
	lowest := 1.0
	for i := 0; i+windowSeconds <= len(r.Seconds); i++ {
		var sum Tally
		for _, s := range r.Seconds[i : i+windowSeconds] {
			sum.Callers += s.Callers
			sum.InTime += s.InTime
		}
		lowest = min(lowest, sum.InTimeFraction())
	}
	return lowest
}

package placement

import (
	"time"

	"monsoonlanding/internal/core/average"
)

// Dozens of nodes send requests to the same engines, and each learns a good part of a second later
// what the others have placed. When engines are nearly full, all nodes would send what they have
// waiting to the one that reports a free slot. The functions here bound that.

const (
	// arrivalDecay is the time constant of the rate of this node's requests.
	arrivalDecay = 2 * time.Second
	// sampleWeight is the weight of the latest request in the mean work of requests.
	sampleWeight = 0.05
	// queueFraction bounds the requests that may wait at an engine, as a fraction of its slots.
	queueFraction = 0.5
)

// arrivals describes the requests that this node sends to the engines of a service.
type arrivals struct {
	rate average.Rate
	// prefill is the mean time to prefill a prompt, held the mean time for which a request
	// occupies a slot.
	prefill, held average.Duration
}

func (s *Set) arrivalsOf(service string) *arrivals {
	a := s.arrivals[service]
	if a == nil {
		a = &arrivals{
			rate:    average.Rate{Decay: arrivalDecay},
			prefill: average.Duration{Weight: sampleWeight},
			held:    average.Duration{Weight: sampleWeight},
		}
		s.arrivals[service] = a
	}
	return a
}

// SetPeerLoadAge sets the mean age of the loads that peers have reported.
func (s *Set) SetPeerLoadAge(age time.Duration) { s.peerLoadAge = age }

// contended reports whether there are more nodes than slots at an engine. With fewer nodes each
// places a good part of an engine's requests itself, and knows of them at once.
func (s *Set) contended(slots int) bool { return len(s.usedByPeers)+1 > slots }

// recordArrival records a request with a number of prompt tokens to prefill.
func (s *Set) recordArrival(now time.Time, service string, prefill int) {
	a := s.arrivalsOf(service)
	a.rate.Add(now, 1)
	a.prefill.Observe(s.Speed(service).PrefillTime(prefill))
}

// recordHeld records the time for which an ended request has occupied a slot of its engine.
func (s *Set) recordHeld(now time.Time, service string, r *activeRequest) {
	// Only requests to engines have memory.
	if r.Memory > 0 {
		s.arrivalsOf(service).held.Observe(now.Sub(r.placedAt))
	}
}

// uncertainty returns the wait at an engine that requests which peers have placed there since
// their latest reports are expected to cause. Costs that differ by less are equal for all that
// this node knows. Peers are assumed to send as many requests as this node.
func (s *Set) uncertainty(now time.Time, service string, slots int) time.Duration {
	peers, engines := len(s.usedByPeers), s.Count(service)
	if !s.contended(slots) || engines == 0 {
		return 0
	}
	a := s.arrivalsOf(service)
	perEngine := a.rate.PerSecond(now) * float64(peers) / float64(engines)
	unreported := perEngine * s.peerLoadAge.Seconds()
	return scale(a.prefill.Value()+s.slotTime(service, slots), unreported)
}

// slotTime returns the mean time until one of an engine's slots becomes free while all are
// occupied, 0 if it is not known yet.
func (s *Set) slotTime(service string, slots int) time.Duration {
	if slots == 0 {
		return 0
	}
	return s.arrivalsOf(service).held.Value() / time.Duration(slots)
}

// slotWait returns the expected wait for a slot of an engine that runs a number of requests.
// Engines admit waiting requests by urgency, whichever nodes they come from, so a bounded
// number is better off there than in the queues of many nodes that all follow the next free slot.
func (s *Set) slotWait(service string, running, slots int) time.Duration {
	if running < slots {
		return 0
	}
	return time.Duration(running-slots+1) * s.slotTime(service, slots)
}

// engineCapacity returns the number of requests that may be at an engine with a number of slots.
func (s *Set) engineCapacity(service string, slots int) int {
	if s.slotTime(service, slots) == 0 || !s.contended(slots) {
		return slots
	}
	return slots + int(queueFraction*float64(slots))
}

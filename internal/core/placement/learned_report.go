package placement

import (
	"math"
	"time"

	"monsoonlanding/internal/core/capacity"
)

const (
	// capacityLogInterval is the least time between two log lines about one upstream,
	// maxCapacityChanges the number of lines at once.
	capacityLogInterval = 10 * time.Second
	maxCapacityChanges  = 4
)

// Capacity is what an upstream is held to take well.
type Capacity struct {
	Upstream string `json:"-"`
	// Factor is the time of its work as a multiple of the service's median.
	Factor float64 `json:"factor"`
	// Takes is the number of requests at once, of all nodes together; Slots all that it has.
	Takes int `json:"takes"`
	Slots int `json:"slots"`
	// Samples is the number of samples, AgeMs the age of the latest one.
	Samples int   `json:"samples"`
	AgeMs   int64 `json:"age_ms"`
}

// loggedCapacity is what was logged of an upstream's capacity.
type loggedCapacity struct {
	factor, room float64
	at           time.Time
}

// Capacities returns what each upstream is held to take that the set learns about, in order of ID.
func (s *Set) Capacities(now time.Time) []Capacity {
	var list []Capacity
	for _, m := range s.sorted {
		if m.learned == nil || m.learned.Samples() == 0 || s.learnedService(m.Service) == nil {
			continue
		}
		s.refreshLearned(now, m.Service)
		list = append(list, m.capacity(now))
	}
	return list
}

func (m *member) capacity(now time.Time) Capacity {
	return Capacity{
		Upstream: m.ID, Factor: m.learned.Factor(), Takes: min(m.takes(m.Slots), m.Slots), Slots: m.Slots,
		Samples: m.learned.Samples(), AgeMs: m.learned.Age(now).Milliseconds(),
	}
}

// CapacityChanges returns the upstreams whose capacity has changed by a fifth or more since it was
// returned last. Their number and pace are bounded.
func (s *Set) CapacityChanges(now time.Time) []Capacity {
	var list []Capacity
	for _, m := range s.sorted {
		if len(list) == maxCapacityChanges {
			break
		}
		if m.learned == nil || s.learnedService(m.Service) == nil || now.Sub(m.logged.at) < capacityLogInterval {
			continue
		}
		s.refreshLearned(now, m.Service)
		latest := loggedCapacity{factor: m.learned.Factor(), room: m.learned.Room(), at: now}
		if latest.differs(m.logged) {
			m.logged = latest
			list = append(list, m.capacity(now))
		}
	}
	return list
}

// differs reports whether the capacity differs from an earlier one by a fifth or more.
func (c loggedCapacity) differs(earlier loggedCapacity) bool {
	if earlier.at.IsZero() {
		earlier.factor, earlier.room = 1, 1
	}
	changed := func(a, b float64) bool { return max(a, b) >= capacity.Notable*math.Min(a, b) }
	return changed(c.factor, earlier.factor) || changed(c.room, earlier.room)
}

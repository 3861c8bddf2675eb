package emulator

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonlanding/internal/core/gateway"
)

// SlowMachines are machines on which work takes longer for some time, again and again, because
// the upstreams of a service share them with others.
type SlowMachines struct {
	Service string
	// Fraction is the fraction of the time for which each of them is slow, Factor how much longer
	// work takes then, and Period how long each of these times is.
	Fraction, Factor float64
	Period           time.Duration
	// Reported is set if upstreams report how long work takes. Counts of requests are reported
	// anyway.
	Reported bool
}

// slowdownOf returns how long work takes now on an upstream's machine, as a multiple of the usual
// time. The machines are slow at different times: once in each cycle, at a random moment of it.
func (s *simulation) slowdownOf(u *upstream) float64 {
	if s.pattern.Slowdown != nil {
		return s.pattern.Slowdown(u.ID, s.now.Sub(startTime), float64(u.running)/float64(u.Slots))
	}
	m := s.pattern.Slow
	if m == nil || u.Service != m.Service || m.Fraction <= 0 {
		return 1
	}
	cycle := time.Duration(float64(m.Period) / m.Fraction)
	at := s.now.Sub(startTime)
	number := uint64(at / cycle)
	random := float64(xxhash.Sum64String(u.ID)^(s.setup.Seed+number)*0x9E3779B97F4A7C15) / (1 << 64)
	begin := time.Duration(random * float64(cycle-m.Period))
	if phase := at % cycle; phase >= begin && phase < begin+m.Period {
		return m.Factor
	}
	return 1
}

// reportOf returns the load that an upstream reports now, nil if it reports none.
func (s *simulation) reportOf(u *upstream) *gateway.Load {
	m := s.pattern.Slow
	if m == nil || u.Service != m.Service {
		return nil
	}
	load := &gateway.Load{Running: min(u.running, u.Slots), Waiting: max(u.running-u.Slots, 0), Slots: u.Slots}
	if m.Reported {
		load.Slowdown = s.slowdownOf(u)
	}
	return load
}

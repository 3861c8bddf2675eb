package average

import (
	"math"
	"time"
)

// Rate is the rate of units added lately, each of which counts less as it ages.
type Rate struct {
	// Decay is the time constant with which units lose their weight.
	Decay time.Duration
	level float64
	at    time.Time
}

// Add adds units.
func (r *Rate) Add(now time.Time, units float64) {
	r.decay(now)
	r.level += units
}

// PerSecond returns the units a second.
func (r *Rate) PerSecond(now time.Time) float64 {
	r.decay(now)
	return r.level / r.Decay.Seconds()
}

func (r *Rate) decay(now time.Time) {
	if elapsed := now.Sub(r.at); elapsed > 0 {
		r.level *= math.Exp(-float64(elapsed) / float64(r.Decay))
		r.at = now
	}
}

package gateway

import (
	"math"
	"time"
)

// demandDecay is the time constant of the decay of a team's demand.
const demandDecay = 500 * time.Millisecond

// demandMeter averages the units that are asked for. Its zero value is ready to use.
type demandMeter struct {
	level float64
	at    time.Time
}

// rate returns the units asked for a second.
func (m *demandMeter) rate(now time.Time) float64 {
	if elapsed := now.Sub(m.at); elapsed > 0 {
		m.level *= math.Exp(-float64(elapsed) / float64(demandDecay))
		m.at = now
	}
	return m.level / demandDecay.Seconds()
}

func (m *demandMeter) add(now time.Time, units float64) {
	m.rate(now)
	m.level += units
}

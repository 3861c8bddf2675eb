// Package average keeps exponentially weighted means and rates.
//
// # Usage
//
//	mean := average.Duration{Weight: 0.1}
//	mean.Observe(took)
//	if mean.Value() > limit {
//	}
package average

import "time"

// Duration is the exponentially weighted mean of durations, 0 before the first.
type Duration struct {
	// Weight is the weight of the latest duration.
	Weight float64
	mean   time.Duration
}

// Observe adds a duration. The first one is the mean until the second.
func (d *Duration) Observe(took time.Duration) {
	if d.mean == 0 {
		d.mean = took
		return
	}
	d.mean += time.Duration(d.Weight * float64(took-d.mean))
}

// Value returns the mean.
func (d *Duration) Value() time.Duration { return d.mean }

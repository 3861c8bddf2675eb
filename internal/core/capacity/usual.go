package capacity

import (
	"math"
	"time"
)

const (
	// usualSamples is the number of samples that the usual time averages over.
	usualSamples = 50
	// minUsualSamples is the number of samples below which the usual time is not known: the
	// first ones may be of a slow upstream.
	minUsualSamples = 6
	// maxUsualStep bounds the weight of one sample in the usual time, as a logarithm.
	maxUsualStep = 0.5
)

// Usual estimates the usual time of one kind of work over all upstreams of a service. Its zero
// value knows none.
type Usual struct {
	// mean is the mean of the logarithms of the times in seconds.
	mean    float64
	samples float64
}

// Observe adds a time and returns it as a multiple of the usual one before. It returns false for a
// time that can't be, and as long as the usual time is not known.
func (u *Usual) Observe(took time.Duration) (stretch float64, ok bool) {
	if took <= 0 {
		return 0, false
	}
	x := math.Log(took.Seconds())
	if u.samples == 0 {
		u.mean = x
	}
	relative := x - u.mean
	u.samples = min(u.samples+1, usualSamples)
	u.mean += min(max(relative, -maxUsualStep), maxUsualStep) / u.samples
	return math.Exp(relative), u.samples >= minUsualSamples
}

// Time returns the usual time, 0 if it is not known.
func (u *Usual) Time() time.Duration {
	if u.samples < minUsualSamples {
		return 0
	}
	return time.Duration(math.Exp(u.mean) * float64(time.Second))
}

package capacity

import (
	"math"
	"time"
)

const (
	// maxStretch bounds the stretch of a sample in both directions, so that one odd time
	// weighs no more than a few usual ones.
	maxStretch = 4
	// maxWeight is the weight of the older samples together, in samples. It makes the mean
	// follow a change within six samples.
	maxWeight = 5.0
	// priorWeight is the weight of the assumption that an upstream is as usual, in samples.
	priorWeight = 1.0
	// fullShrinkage is the part of the mean that the estimate has with the most weight.
	fullShrinkage = maxWeight / (maxWeight + priorWeight)
	// missingStep is the weight of a sample in the part of the samples that missed their goals,
	// minMissing the part from which on an upstream counts as missing them.
	missingStep = 0.5
	minMissing  = 0.5
	// minSamples is the number of samples below which an upstream counts as usual.
	minSamples = 3
	// memory is the time after which samples weigh half if no others follow.
	memory = 4 * time.Second
	// maxAge is the age of a sample beyond which it says nothing of an upstream now.
	maxAge = 10 * time.Second
	// deadBand is the factor up to which an upstream counts as usual.
	deadBand = 1.1
	// Notable is the factor from which on an upstream differs from the usual.
	Notable = 1.2
)

var (
	logMaxStretch = math.Log(maxStretch)
	logDeadBand   = math.Log(deadBand)
	logNotable    = math.Log(Notable)
)

// Sample is what the time of one answer says of its upstream.
type Sample struct {
	At time.Time
	// Stretch is the time that the answer took, as a multiple of what is usual for the work
	// at that load.
	Stretch float64
	// Weight is the part of the time that depends on the upstream's speed, from 0 to 1.
	Weight float64
	// Load is the number of other requests that ran there when this one was dispatched, as a
	// fraction of the slots.
	Load float64
	// Missed is set if the answer took longer than what the route's goal leaves for it.
	Missed bool
}

// Estimator estimates the speed and the room of one upstream's process. It answers upstreams
// that differ in speed, or slow down before they are full, with three samples a second of each
// from all nodes together.
type Estimator struct {
	group *Group
	// mean is the mean of the logarithms of the stretches, weight the weight of the samples
	// in it at the time of the latest one.
	mean, weight float64
	samples      int
	latest       time.Time
	// missing is the moving average of the part of the samples that missed their goals.
	missing float64
	room    room
	// factor and whole are the estimates as of the group's last refresh.
	factor, whole float64
}

// Observe adds a sample. One with an impossible time is ignored.
func (e *Estimator) Observe(now time.Time, s Sample) {
	if s.At.After(now) {
		s.At = now
	}
	x := math.Log(s.Stretch)
	if math.IsNaN(x) || math.IsNaN(s.Weight) || math.IsNaN(s.Load) || e.latest.Sub(s.At) > maxAge {
		return
	}
	x = min(max(x, -logMaxStretch), logMaxStretch)
	e.age(s.At)
	e.samples++
	if w := min(max(s.Weight, 0), 1); w > 0 {
		e.weight = min(e.weight+w, maxWeight)
		e.mean += w / e.weight * (x - e.mean)
	}
	s.Load = min(max(s.Load, 0), 1)
	missed := 0.0
	if s.Missed {
		missed = 1
	}
	e.missing += missingStep * (missed - e.missing)
	if s.Missed && !e.group.overloaded && fullShrinkage*(x-logNotable) >= e.group.usual {
		e.room.missed(s)
		return
	}
	e.room.met(s)
}

// age lets the older samples lose weight until a time.
func (e *Estimator) age(at time.Time) {
	if !at.After(e.latest) {
		return
	}
	e.weight *= halved(at.Sub(e.latest), memory)
	e.latest = at
}

// halved returns the part that is left of a quantity after a time in which it is halved each
// halfLife.
func halved(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(elapsed, 0)) / float64(halfLife))
}

// stretch returns the logarithm of the estimated stretch, 0 if there are too few samples.
func (e *Estimator) stretch(now time.Time) float64 {
	if e.samples < minSamples {
		return 0
	}
	weight := e.weight * halved(now.Sub(e.latest), memory)
	return e.mean * weight / (weight + priorWeight)
}

func (e *Estimator) refresh(now time.Time) {
	e.factor, e.whole = 1, e.room.left(now)
	if e.samples < minSamples {
		return
	}
	if relative := e.stretch(now) - e.group.usual; math.Abs(relative) >= logDeadBand {
		e.factor = math.Exp(relative)
	}
}

// Factor returns the time that the upstream takes for its work, as a multiple of the median of
// its service.
func (e *Estimator) Factor() float64 { return e.factor }

// Room returns the fraction of its slots up to which the upstream takes work well.
func (e *Estimator) Room() float64 { return e.whole }

// Differs reports whether the upstream differs from the usual by a fifth or more.
func (e *Estimator) Differs() bool {
	return math.Abs(math.Log(e.factor)) >= logNotable || e.whole <= 1/Notable
}

// IsNotable reports whether a sample differs from what is usual for the service by a fifth or more.
func (e *Estimator) IsNotable(s Sample) bool {
	return s.Missed || math.Abs(math.Log(s.Stretch)-e.group.usual) >= logNotable
}

// Samples returns the number of samples, and Age the age of the latest one.
func (e *Estimator) Samples() int { return e.samples }

// Age returns the age of the latest sample, 0 if there is none.
func (e *Estimator) Age(now time.Time) time.Duration {
	if e.latest.IsZero() {
		return 0
	}
	return max(now.Sub(e.latest), 0)
}

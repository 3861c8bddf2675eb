package capacity

import (
	"math"
	"time"
)

const (
	// maxStretch bounds the stretch of a sample in both directions, so that one odd time
	// weighs no more than a few usual ones.
	maxStretch = 4
	// lastingWeight is the weight of all samples together, in samples, in the mean that shows
	// whether a difference lasts. latestWeight is that in the mean that shows whether it is
	// still there; it follows a change within three samples.
	lastingWeight = 30.0
	latestWeight  = 2.5
	// priorWeight is the weight of the assumption that an upstream is as usual, in samples.
	priorWeight = 1.0
	// missingStep is the weight of a sample in the part of the samples that missed their goals,
	// minMissing the part from which on an upstream counts as missing them: one sample does not
	// reach it.
	missingStep = 0.5
	minMissing  = 0.6
	// minSamples is the number of samples below which an upstream counts as usual.
	minSamples = 3
	// memory is the time after which samples weigh half if no others follow.
	memory = 8 * time.Second
	// maxAge is the age of a sample beyond which it says nothing of an upstream now.
	maxAge = 10 * time.Second
	// deadBand is the factor up to which an upstream counts as usual.
	deadBand = 1.15
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
	// lasting and latest are means of the logarithms of the stretches, as of sampledAt.
	lasting, latest mean
	samples         int
	sampledAt       time.Time
	// missing is the moving average of the part of the samples that missed their goals, as of
	// sampledAt. It is halved in the same time as the weights.
	missing float64
	room    room
	// unusable is set if the upstream gets no requests at the moment.
	unusable bool
	// asUsual is set if the latest sample was as usual.
	asUsual bool
	// factor and available, the room, are the estimates as of the group's last refresh.
	factor, available float64
}

// SetUsable sets whether the upstream may get requests at the moment. The group measures its members
// by the usable ones alone.
func (e *Estimator) SetUsable(usable bool) { e.unusable = !usable }

// Observe adds a sample. One with an impossible time is ignored.
func (e *Estimator) Observe(now time.Time, s Sample) {
	if s.At.After(now) {
		s.At = now
	}
	x := math.Log(s.Stretch)
	if math.IsNaN(x) || math.IsNaN(s.Weight) || math.IsNaN(s.Load) || e.sampledAt.Sub(s.At) > maxAge {
		return
	}
	x = min(max(x, -logMaxStretch), logMaxStretch)
	s.Load = min(max(s.Load, 0), 1)
	e.age(s.At)
	e.samples++
	if w := min(max(s.Weight, 0), 1); w > 0 {
		e.lasting.add(x, w, lastingWeight)
		e.latest.add(x, w, latestWeight)
	}
	e.asUsual = x-e.group.usual < logNotable
	e.observeGoal(s, x)
}

// observeGoal changes the room by whether a sample with the given logarithm of its stretch met its
// goal.
func (e *Estimator) observeGoal(s Sample, x float64) {
	missed := 0.0
	if s.Missed {
		missed = 1
	}
	e.missing += missingStep * (missed - e.missing)
	slower := min(x, e.latest.value)-e.group.usual >= logNotable
	if s.Missed && slower && !e.group.overloaded {
		e.room.missed(s)
		return
	}
	e.room.met(s)
}

// age lets the older samples lose weight until a time.
func (e *Estimator) age(at time.Time) {
	if !at.After(e.sampledAt) {
		return
	}
	left := halved(at.Sub(e.sampledAt), memory)
	e.lasting.weight *= left
	e.latest.weight *= left
	e.missing *= left
	e.sampledAt = at
}

// halved returns the part that is left of a quantity after a time in which it is halved each
// halfLife.
func halved(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(elapsed, 0)) / float64(halfLife))
}

// stretch returns the logarithm of the estimated stretch, 0 if there are too few samples. A
// difference counts as far as it lasts and is still there: noise that lasts for a few samples is
// none, and an upstream that has recovered is as usual.
func (e *Estimator) stretch(now time.Time) float64 {
	if e.samples < minSamples {
		return 0
	}
	elapsed := now.Sub(e.sampledAt)
	lasting, latest := e.lasting.shrunk(elapsed), e.latest.shrunk(elapsed)
	if lasting*latest <= 0 {
		return 0
	}
	if math.Abs(lasting) < math.Abs(latest) {
		return lasting
	}
	return latest
}

// isMissing reports whether the upstream misses its goals at a time.
func (e *Estimator) isMissing(now time.Time) bool {
	return e.missing*halved(now.Sub(e.sampledAt), memory) >= minMissing
}

func (e *Estimator) refresh(now time.Time) {
	e.factor, e.available = 1, e.room.left(now)
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
func (e *Estimator) Room() float64 { return e.available }

// IsSlow reports whether the upstream is slower than the usual by a fifth or more, or takes less
// than its slots by as much.
func (e *Estimator) IsSlow() bool { return e.factor >= Notable || e.available <= 1/Notable }

// MayHaveRecovered reports whether the latest sample of a slow upstream was as usual.
func (e *Estimator) MayHaveRecovered() bool { return e.IsSlow() && e.asUsual }

// Differs reports whether the upstream differs from the usual by a fifth or more.
func (e *Estimator) Differs() bool {
	return math.Abs(math.Log(e.factor)) >= logNotable || e.available <= 1/Notable
}

// IsNotable reports whether a sample differs from what is usual for the service by a fifth or more.
func (e *Estimator) IsNotable(s Sample) bool {
	return s.Missed || math.Abs(math.Log(s.Stretch)-e.group.usual) >= logNotable
}

// Samples returns the number of samples, and Age the age of the latest one.
func (e *Estimator) Samples() int { return e.samples }

// Age returns the age of the latest sample, 0 if there is none.
func (e *Estimator) Age(now time.Time) time.Duration {
	if e.sampledAt.IsZero() {
		return 0
	}
	return max(now.Sub(e.sampledAt), 0)
}

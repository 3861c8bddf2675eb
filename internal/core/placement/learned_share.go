package placement

import (
	"math"
	"time"

	"monsoonlanding/internal/core/capacity"
)

const (
	// maxSharedSamples bounds the samples in a status.
	maxSharedSamples = 12
	// maxSampleAge is the age beyond which a peer's sample is ignored.
	maxSampleAge = 8 * time.Second
	// stretchUnit, loadUnit and weightUnit are the units of the numbers in a SharedSample.
	stretchUnit = 1.0 / 32
	loadUnit    = 1.0 / 64
	weightUnit  = 1.0 / 16
)

// SharedSample is a sample as nodes send it to each other.
type SharedSample struct {
	// Process identifies the upstream's process.
	Process uint64 `cbor:"1,keyasint"`
	// Stretch is the logarithm of the stretch, in 32nds.
	Stretch int8 `cbor:"2,keyasint,omitempty"`
	// Load is in 64ths of the slots, Weight in 16ths.
	Load   uint8 `cbor:"3,keyasint,omitempty"`
	Weight uint8 `cbor:"4,keyasint,omitempty"`
	Missed bool  `cbor:"5,keyasint,omitempty"`
	// AgeMs is the age in milliseconds.
	AgeMs uint16 `cbor:"6,keyasint,omitempty"`
}

// SharedSamples are the latest samples of a node that differ from the usual, or are of an upstream
// that does.
type SharedSamples struct {
	// Last is the number of the last one in the list; each has the next number.
	Last uint64         `cbor:"1,keyasint"`
	List []SharedSample `cbor:"2,keyasint"`
}

// sampleExchange holds the samples that this node shares, and how far those of its peers are known.
type sampleExchange struct {
	// own holds this node's latest samples; last is the number of the last one.
	own  []ownSample
	last uint64
	// known holds the number of the last known sample of each peer's process.
	known map[string]knownSamples
}

type ownSample struct {
	process uint64
	sample  capacity.Sample
}

type knownSamples struct {
	start int64
	last  uint64
}

func newSampleExchange() sampleExchange {
	return sampleExchange{known: make(map[string]knownSamples)}
}

// share adds a sample to those that peers get.
func (x *sampleExchange) share(process uint64, sample capacity.Sample) {
	if len(x.own) == maxSharedSamples {
		x.own = append(x.own[:0], x.own[1:]...)
	}
	x.own = append(x.own, ownSample{process, sample})
	x.last++
}

// OwnSamples returns this node's samples up to an age, for its peers; nil if there are none.
func (s *Set) OwnSamples(now time.Time, maxAge time.Duration) *SharedSamples {
	x := &s.learner.samples
	first := len(x.own)
	for first > 0 && now.Sub(x.own[first-1].sample.At) <= maxAge {
		first--
	}
	if first == len(x.own) {
		return nil
	}
	shared := &SharedSamples{Last: x.last}
	for _, o := range x.own[first:] {
		shared.List = append(shared.List, o.encode(now))
	}
	return shared
}

func (o ownSample) encode(now time.Time) SharedSample {
	bounded := func(value, unit, highest float64) float64 {
		return min(max(math.Round(value/unit), 0), highest)
	}
	stretch := math.Round(math.Log(o.sample.Stretch) / stretchUnit)
	return SharedSample{
		Process: o.process,
		Stretch: int8(min(max(stretch, math.MinInt8), math.MaxInt8)),
		Load:    uint8(bounded(o.sample.Load, loadUnit, math.MaxUint8)),
		Weight:  uint8(bounded(o.sample.Weight, weightUnit, math.MaxUint8)),
		Missed:  o.sample.Missed,
		AgeMs:   uint16(bounded(float64(now.Sub(o.sample.At)), float64(time.Millisecond), math.MaxUint16)),
	}
}

func (s SharedSample) decode(now time.Time) capacity.Sample {
	return capacity.Sample{
		At:      now.Add(-s.age()),
		Stretch: math.Exp(float64(s.Stretch) * stretchUnit),
		Load:    float64(s.Load) * loadUnit,
		Weight:  float64(s.Weight) * weightUnit,
		Missed:  s.Missed,
	}
}

func (s SharedSample) age() time.Duration { return time.Duration(s.AgeMs) * time.Millisecond }

// MergeSamples adds those samples of a peer's process, which started at a time, that are not known
// yet.
func (s *Set) MergeSamples(now time.Time, node string, start int64, shared *SharedSamples) {
	if shared == nil || s.learner.off() {
		return
	}
	x := &s.learner.samples
	known := x.known[node]
	if known.start != start {
		known = knownSamples{start: start}
	}
	if shared.Last <= known.last {
		return
	}
	unknown := min(uint64(len(shared.List)), shared.Last-known.last)
	for _, sample := range shared.List[uint64(len(shared.List))-unknown:] {
		s.mergeSample(now, sample)
	}
	known.last = shared.Last
	x.known[node] = known
}

func (s *Set) mergeSample(now time.Time, shared SharedSample) {
	m := s.learner.processes[shared.Process]
	if m == nil || shared.age() > maxSampleAge {
		return
	}
	m.learned.Observe(now, shared.decode(now))
}

// ForgetSamples forgets how far the samples of a former peer are known.
func (s *Set) ForgetSamples(node string) { delete(s.learner.samples.known, node) }

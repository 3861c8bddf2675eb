package capacity

import (
	"math"
	"math/rand/v2"
	"time"
)

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// samplesPerSecond is the number of samples of one upstream from all nodes together.
const samplesPerSecond = 3

// goalPart is the part of the goal that is left for the upstream.
const goalPart = 0.8

// service plays the upstreams of a service, each of which gives samples at an even pace.
type service struct {
	group   Group
	members []*Estimator
	now     time.Time
	rng     *rand.Rand
	// noise is the standard deviation of the logarithm of the stretches.
	noise float64
	// load returns the load at which the next sample of an upstream is taken.
	load func(i int) float64
	// time returns how long an upstream takes at a load, as a multiple of the usual.
	time func(i int, load float64) float64
	// goal is the longest time within the goal, as a multiple of the usual.
	goal float64
}

func newService(n int) *service {
	s := &service{
		now: epoch, rng: rand.New(rand.NewPCG(1, 2)), noise: 0.15, goal: 2,
		load: func(int) float64 { return 0.3 },
		time: func(int, float64) float64 { return 1 },
	}
	for range n {
		s.members = append(s.members, s.group.Add())
	}
	return s
}

// play lets time pass. It returns the number of answers of the last upstream that were late for
// their callers, and of all of it.
func (s *service) play(d time.Duration) (late, all int) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(time.Second / samplesPerSecond)
		for i, e := range s.members {
			load := s.load(i)
			took := s.time(i, load) * math.Exp(s.noise*s.rng.NormFloat64())
			e.Observe(s.now, Sample{At: s.now, Stretch: took, Weight: 1, Load: load, Missed: took > goalPart*s.goal})
			if i == len(s.members)-1 {
				all++
				if took > s.goal {
					late++
				}
			}
		}
		s.group.Refresh(s.now)
	}
	return late, all
}

func (s *service) last() *Estimator { return s.members[len(s.members)-1] }

// followRoom makes the last upstream run at all times as many requests as its room allows.
func (s *service) followRoom() {
	s.load = func(i int) float64 {
		if i == len(s.members)-1 {
			return s.last().Room()
		}
		return 0.3
	}
}

// lastTakes sets the time of the last upstream.
func (s *service) lastTakes(at func(load float64) float64) {
	s.time = func(i int, load float64) float64 {
		if i == len(s.members)-1 {
			return at(load)
		}
		return 1
	}
}

func always(stretch float64) func(float64) float64 {
	return func(float64) float64 { return stretch }
}

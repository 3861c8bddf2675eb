package capacity

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// recovery is the time within which the room of an upstream that has recovered is found again.
const recovery = 2 * time.Second

// TestSlowFromTheStart: an upstream at half speed got as much work as the others until its queue
// showed.
func TestSlowFromTheStart(t *testing.T) {
	c := qt.New(t)
	s := newService(4)
	s.lastTakes(always(2))
	s.play(2 * time.Second)
	factor := s.last().Factor()
	c.Assert(factor >= 1.5 && factor <= 2.5, qt.IsTrue, qt.Commentf("%.2f", factor))
	for _, e := range s.members[:3] {
		c.Assert(e.Factor() < Notable, qt.IsTrue, qt.Commentf("%.2f", e.Factor()))
	}
}

// TestSlowBeforeFull: an upstream that slows down beyond half of its slots was filled to the last
// one, and what ran there was late. 95 in 100 of its answers have to meet their goals.
func TestSlowBeforeFull(t *testing.T) {
	c := qt.New(t)
	s := newService(4)
	// The goal is missed from three quarters of the slots on.
	s.lastTakes(func(load float64) float64 { return 1 + 2.4*max(load-0.5, 0) })
	s.goal = 1.6
	s.noise = 0.05
	s.followRoom()
	s.play(10 * time.Second)
	lowest, highest := 1.0, 0.0
	missed, all := 0, 0
	for range 30 {
		m, n := s.play(time.Second)
		missed, all = missed+m, all+n
		lowest, highest = min(lowest, s.last().Room()), max(highest, s.last().Room())
	}
	c.Logf("room %.2f to %.2f, %d of %d missed", lowest, highest, missed, all)
	c.Assert(lowest >= 0.5, qt.IsTrue, qt.Commentf("%.2f", lowest))
	c.Assert(highest <= 0.9, qt.IsTrue, qt.Commentf("%.2f", highest))
	c.Assert(float64(missed) <= 0.05*float64(all), qt.IsTrue, qt.Commentf("%d of %d", missed, all))
}

// TestRecovered: an upstream that was slow at any load for a while has its room again within 2 s
// once its answers are as usual, and counts as fast as the others.
func TestRecovered(t *testing.T) {
	c := qt.New(t)
	s := newService(4)
	s.followRoom()
	s.lastTakes(always(2.5))
	s.play(10 * time.Second)
	c.Assert(s.last().Room() <= 0.5, qt.IsTrue, qt.Commentf("%.2f", s.last().Room()))
	c.Assert(s.last().Factor() >= Notable, qt.IsTrue)
	s.lastTakes(always(1))
	s.play(recovery)
	c.Assert(s.last().Room() >= 1/Notable, qt.IsTrue, qt.Commentf("%.2f", s.last().Room()))
	c.Assert(s.last().Factor() < Notable, qt.IsTrue, qt.Commentf("%.2f", s.last().Factor()))
}

// TestSlowForMoments: an upstream that is 2.5 times as slow for 600 ms now and then, 15 in 100 of
// the time, is no slow one for good: it keeps its room or has it again within 2 s.
func TestSlowForMoments(t *testing.T) {
	c := qt.New(t)
	s := newService(4)
	s.followRoom()
	s.lastTakes(func(float64) float64 {
		if s.now.Sub(epoch)%(4*time.Second) < 600*time.Millisecond {
			return 2.5
		}
		return 1
	})
	for s.now.Sub(epoch) < time.Minute {
		s.play(time.Second / samplesPerSecond)
		if s.now.Sub(epoch)%(4*time.Second) < 600*time.Millisecond+recovery {
			continue
		}
		c.Assert(s.last().Factor() < Notable, qt.IsTrue, qt.Commentf("%v: %.2f", s.now.Sub(epoch), s.last().Factor()))
		c.Assert(s.last().Room() >= 1/Notable, qt.IsTrue, qt.Commentf("%v: %.2f", s.now.Sub(epoch), s.last().Room()))
	}
}

// TestAllSlowAtOnce: a load that slows all upstreams down is no fault of theirs. None loses room
// or counts as slower than the others.
func TestAllSlowAtOnce(t *testing.T) {
	for _, noise := range []float64{0, 0.15, 0.3} {
		c := qt.New(t)
		s := newService(12)
		s.noise = noise
		s.play(5 * time.Second)
		s.time = func(int, float64) float64 { return 3 }
		s.load = func(int) float64 { return 0.9 }
		// The first samples arrive before it is known that all are slow.
		s.play(time.Second)
		for range 30 {
			s.play(time.Second)
			shunned := 0
			for _, e := range s.members {
				if e.Room() < 1/Notable || e.Factor() >= 1.5 {
					shunned++
				}
			}
			c.Assert(shunned, qt.Equals, 0, qt.Commentf("noise %.2f", noise))
		}
	}
}

// TestFewSamples: one or two odd times say nothing of an upstream.
func TestFewSamples(t *testing.T) {
	c := qt.New(t)
	s := newService(3)
	for range minSamples - 1 {
		s.last().Observe(s.now, Sample{At: s.now, Stretch: 100, Weight: 1})
	}
	s.group.Refresh(s.now)
	c.Assert(s.last().Factor(), qt.Equals, 1.0)
	c.Assert(s.last().Room(), qt.Equals, 1.0)
}

// TestOneOddTime: a single huge time among usual ones does not make an upstream slow.
func TestOneOddTime(t *testing.T) {
	c := qt.New(t)
	s := newService(3)
	s.noise = 0
	s.play(5 * time.Second)
	s.last().Observe(s.now, Sample{At: s.now, Stretch: 1e9, Weight: 1, Load: 0.5, Missed: true})
	s.play(time.Second)
	c.Assert(s.last().Factor() < Notable, qt.IsTrue, qt.Commentf("%.2f", s.last().Factor()))
	c.Assert(s.last().Room(), qt.Equals, 1.0)
}

// TestForgottenWithoutSamples: what was learned of an upstream without traffic fades.
func TestForgottenWithoutSamples(t *testing.T) {
	c := qt.New(t)
	s := newService(3)
	s.followRoom()
	s.lastTakes(always(3))
	s.play(5 * time.Second)
	s.now = s.now.Add(time.Minute)
	s.group.Refresh(s.now)
	c.Assert(s.last().Factor(), qt.Equals, 1.0)
	c.Assert(s.last().Room() > 0.95, qt.IsTrue, qt.Commentf("%.2f", s.last().Room()))
}

// TestUsualTime: the usual time of a route follows that of most answers.
func TestUsualTime(t *testing.T) {
	c := qt.New(t)
	var u Usual
	for i := range 100 {
		took := 60 * time.Millisecond
		if i%10 == 9 {
			took = time.Minute
		}
		_, ok := u.Observe(took)
		c.Assert(ok, qt.Equals, i+1 >= minUsualSamples)
	}
	c.Assert(u.Time() > 55*time.Millisecond && u.Time() < 75*time.Millisecond, qt.IsTrue, qt.Commentf("%v", u.Time()))
	for _, took := range []time.Duration{0, -time.Second} {
		_, ok := u.Observe(took)
		c.Assert(ok, qt.IsFalse)
	}
}

// FuzzEstimator feeds odd times, loads and ages: the estimates stay in their ranges and follow
// usual samples afterwards.
func FuzzEstimator(f *testing.F) {
	f.Add(1.0, 1.0, 0.5, int64(0), true)
	f.Add(0.0, 0.0, 0.0, int64(math.MaxInt64), true)
	f.Add(-1.0, -1.0, -1.0, int64(math.MinInt64), false)
	f.Add(math.Inf(1), math.Inf(1), math.Inf(1), int64(-1), true)
	f.Add(math.NaN(), 1.0, math.NaN(), int64(time.Hour), true)
	f.Add(math.MaxFloat64, math.SmallestNonzeroFloat64, 1e300, int64(time.Second), true)
	f.Fuzz(func(t *testing.T, stretch, weight, load float64, age int64, missed bool) {
		c := qt.New(t)
		s := newService(3)
		for range 5 {
			s.play(time.Second)
			s.last().Observe(s.now, Sample{At: s.now.Add(-time.Duration(age)), Stretch: stretch, Weight: weight, Load: load, Missed: missed})
			s.group.Refresh(s.now)
			for _, e := range s.members {
				c.Assert(e.Factor() >= 1.0/maxStretch/maxStretch && e.Factor() <= maxStretch*maxStretch, qt.IsTrue, qt.Commentf("%v", e.Factor()))
				c.Assert(e.Room() >= minRoom && e.Room() <= 1, qt.IsTrue, qt.Commentf("%v", e.Room()))
				c.Assert(e.Age(s.now) >= 0, qt.IsTrue)
			}
		}
		s.followRoom()
		s.play(4 * time.Second)
		c.Assert(s.last().Factor() < Notable, qt.IsTrue, qt.Commentf("%v", s.last().Factor()))
		c.Assert(s.last().Room() >= 1/Notable, qt.IsTrue, qt.Commentf("%v", s.last().Room()))
	})
}

// late returns a sample at a time that missed its goal at half of the slots.
func late(at time.Time) Sample {
	return Sample{At: at, Stretch: 3, Weight: 1, Load: 0.5, Missed: true}
}

// TestLateSamplesAge: one late answer marked an upstream as missing its goals until its next one,
// for hours if it got none, and with half of the service marked no room was lowered any more.
func TestLateSamplesAge(t *testing.T) {
	c := qt.New(t)
	s := newService(4)
	observe := func(n int) {
		for _, e := range s.members[:3] {
			for range n {
				e.Observe(s.now, late(s.now))
			}
		}
		s.group.Refresh(s.now)
	}
	observe(1)
	c.Assert(s.group.overloaded, qt.IsFalse)
	s.now = s.now.Add(time.Second)
	observe(2)
	c.Assert(s.group.overloaded, qt.IsTrue)
	s.now = s.now.Add(time.Minute)
	s.group.Refresh(s.now)
	c.Assert(s.group.overloaded, qt.IsFalse)
}

// TestMissesAge: late answers of hours ago counted with one of now and lowered the room.
func TestMissesAge(t *testing.T) {
	c := qt.New(t)
	r := newRoom()
	for i := range maxMisses + 1 {
		r.missed(late(epoch.Add(time.Duration(i) * time.Hour)))
	}
	c.Assert(r.limit, qt.Equals, 1.0)
	for i := range maxMisses + 1 {
		r.missed(late(epoch.Add((maxMisses+1)*time.Hour + time.Duration(i)*time.Second)))
	}
	c.Assert(r.limit < 1, qt.IsTrue)
}

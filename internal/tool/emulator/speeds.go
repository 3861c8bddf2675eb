package emulator

import "time"

// plainKinds returns requests to the plain service that use about half of the slots of four
// upstreams.
func plainKinds() []Kind {
	return []Kind{{Route: "book", Rate: 150, LatencyGoal: 150 * time.Millisecond, Value: 1}}
}

// slowThird returns a Slowdown in which one upstream of each three takes a multiple of the usual time
// by the part of its slots that is in use.
func slowThird(slowdown func(load float64) float64) func(string, time.Duration, float64) float64 {
	return func(upstream string, _ time.Duration, load float64) float64 {
		if (upstream[len(upstream)-1]-'0')%3 == 0 {
			return slowdown(load)
		}
		return 1
	}
}

// Speeds has one upstream of each three take 1.3 times as long as the others.
func Speeds() Pattern {
	return Pattern{
		Name: "speeds", Length: patternLength, Kinds: typicalMix(1.6),
		Slowdown: slowThird(func(float64) float64 { return 1.3 }),
	}
}

// HalfSpeed has one upstream of each three of the plain service work at half speed.
func HalfSpeed() Pattern {
	return Pattern{
		Name: "half speed", Length: patternLength, Kinds: plainKinds(),
		Slowdown: slowThird(func(float64) float64 { return 2 }),
	}
}

// SlowBeforeFull has one upstream of each three of the plain service slow down from half of its
// slots on, to three times the usual time when it is full.
func SlowBeforeFull() Pattern {
	return Pattern{
		Name: "slow before full", Length: patternLength, Kinds: plainKinds(),
		Slowdown: slowThird(func(load float64) float64 { return 1 + 4*max(load-0.5, 0) }),
	}
}

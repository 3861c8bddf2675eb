package emulator

import "time"

// plainKinds returns requests to the plain service, a number a second.
func plainKinds(rate float64) []Kind {
	return []Kind{{Route: "book", Rate: rate, LatencyGoal: 150 * time.Millisecond, Value: 1}}
}

// Speeds has one upstream of each three take 1.3 times as long as the others.
func Speeds() Pattern {
	return Pattern{
		Name: "speeds", Length: patternLength, Kinds: typicalMix(1.6),
		Slowdown: func(upstream string, _ time.Duration, _ float64) float64 {
			if (upstream[len(upstream)-1]-'0')%3 == 0 {
				return 1.3
			}
			return 1
		},
	}
}

// ThirdSpeed has one upstream of the plain service work at a third of the speed of the others.
func ThirdSpeed() Pattern {
	return Pattern{
		Name: "third speed", Length: patternLength, Kinds: plainKinds(170),
		Slowdown: func(upstream string, _ time.Duration, _ float64) float64 {
			if upstream == "plain-0" {
				return 3
			}
			return 1
		},
	}
}

// SlowBeforeFull has one upstream of the plain service slow down from half of its slots on, to four
// times the usual time when it is full.
func SlowBeforeFull() Pattern {
	return Pattern{
		Name: "slow before full", Length: patternLength, Kinds: plainKinds(200),
		Slowdown: func(upstream string, _ time.Duration, load float64) float64 {
			if upstream == "plain-0" {
				return 1 + 6*max(load-0.5, 0)
			}
			return 1
		},
	}
}

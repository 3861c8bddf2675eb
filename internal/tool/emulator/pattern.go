package emulator

import "time"

// Kind is a kind of request with its arrival rate.
type Kind struct {
	Route string
	// Rate is the number of arrivals per second.
	Rate float64
	// SharedTokens is the number of prompt tokens in the prefix that a request
	// shares with others, OwnTokens the mean number of those that it doesn't
	// share, and OutputTokens the number of generated tokens. Kinds without
	// SharedTokens go to the plain service.
	SharedTokens, OwnTokens, OutputTokens int
	// Prefixes is the number of different shared prefixes.
	Prefixes int
	// Groups, if above 0, is the number of different parts of groupTokens tokens
	// that come before the prefix.
	Groups int
	// LatencyGoal is the latency to the first event within which an answer is in time.
	LatencyGoal time.Duration
	// Value is the value of an answer in time, relative to other kinds; a late
	// answer has the fraction lateValue of it.
	Value float64
}

// lateValue is the fraction of its value that a late answer has.
const lateValue = 0.1

// Pattern is the load of a run and the faults during it.
type Pattern struct {
	Name   string
	Length time.Duration
	Kinds  []Kind
	// RateFactor returns the factor by which a kind's rate is multiplied at a
	// time; nil means 1.
	RateFactor func(at time.Duration, route string) float64
	// HotPrefix is the fraction of the requests of each kind that share one
	// prefix, HotTeam the fraction that come from one team.
	HotPrefix, HotTeam float64
	// PickNode chooses a caller's node, given a random number in [0, 1); nil
	// distributes callers evenly over all nodes.
	PickNode func(at time.Duration, random float64, nodes int) int
	// CallerRetries is the maximum number of times that a caller retries a
	// refused request, each time after eagerRetryDelay; 0 means a single retry,
	// after the delay given in the refusal.
	CallerRetries int
	// CrashedEngines is the number of engines that crash at CrashAt.
	CrashedEngines int
	CrashAt        time.Duration
	// PartitionedNodes is the number of nodes that are partitioned from the
	// others, from PartitionAt for PartitionDuration.
	PartitionedNodes               int
	PartitionAt, PartitionDuration time.Duration
	// BrokenFraction is the fraction of runs whose answer breaks off,
	// RefusedFraction the fraction of dispatched requests that upstreams refuse.
	BrokenFraction, RefusedFraction float64
	// ResetFraction is the fraction of runs whose connection is reset before their
	// answer begins.
	ResetFraction float64
	// CrashingPart is a prompt part that crashes engines; nil for none.
	CrashingPart *CrashingPart
	// UpstreamCut partitions nodes from all upstreams; nil for never.
	UpstreamCut *UpstreamCut
	// Brittle are upstreams that say that they are brittle; nil for none.
	Brittle *BrittleUpstreams
	// Limits are the limits that upstreams name; nil for none.
	Limits *UpstreamLimits
	// Pausing are upstreams that ask for pauses; nil for none.
	Pausing *PausingUpstreams
	// Slow are machines that are slow at times; nil for none.
	Slow *SlowMachines
	// Slowdown returns how long work takes at an upstream at a time, as a multiple of the usual;
	// load is the part of its slots that is in use. nil means 1.
	Slowdown func(upstream string, at time.Duration, load float64) float64
	// RestartAt is when all nodes restart without state; zero is never.
	RestartAt time.Duration
}

// typicalMix returns the kinds of request of a typical day: long drafts, short
// questions, short checks and bookings, the last at the plain service. Their
// rates are multiplied by scale.
func typicalMix(scale float64) []Kind {
	return []Kind{
		{Route: "plan", Rate: 25 * scale, SharedTokens: 5400, OwnTokens: 6600, OutputTokens: 380, Prefixes: 70, LatencyGoal: time.Second, Value: 4.6},
		{Route: "ask", Rate: 25 * scale, SharedTokens: 200, OwnTokens: 630, OutputTokens: 300, Prefixes: 90, LatencyGoal: 500 * time.Millisecond, Value: 1.5},
		{Route: "check", Rate: 35 * scale, SharedTokens: 570, OwnTokens: 1800, OutputTokens: 20, Prefixes: 140, LatencyGoal: 500 * time.Millisecond, Value: 0.5},
		{Route: "book", Rate: 20 * scale, LatencyGoal: 300 * time.Millisecond, Value: 1},
	}
}

const (
	// patternLength is the length of each pattern.
	patternLength = 30 * time.Second
	// disturbanceStart and disturbanceEnd bound the time in which a pattern
	// departs from its base load.
	disturbanceStart = 10 * time.Second
	disturbanceEnd   = 18 * time.Second
)

// burst returns a RateFactor that multiplies all rates by factor between
// disturbanceStart and disturbanceEnd.
func burst(factor float64) func(time.Duration, string) float64 {
	return func(at time.Duration, _ string) float64 {
		if at >= disturbanceStart && at < disturbanceEnd {
			return factor
		}
		return 1
	}
}

// Steady is a constant load within the capacity of the engines.
func Steady() Pattern {
	return Pattern{Name: "steady", Length: patternLength, Kinds: typicalMix(1)}
}

// Burst triples the load during the disturbance.
func Burst() Pattern {
	return Pattern{Name: "burst", Length: patternLength, Kinds: typicalMix(1), RateFactor: burst(3)}
}

// HotPrefix has most requests share one prompt prefix.
func HotPrefix() Pattern {
	return Pattern{Name: "hot prefix", Length: patternLength, Kinds: typicalMix(1.3), HotPrefix: 0.6}
}

// HotTeam has one team send most requests, and triples the load during the
// disturbance.
func HotTeam() Pattern {
	return Pattern{Name: "hot team", Length: patternLength, Kinds: typicalMix(1), RateFactor: burst(3), HotTeam: 0.7}
}

// EagerRetries has callers retry up to three times in a burst, regardless of the
// delay given in the refusal.
func EagerRetries() Pattern {
	return Pattern{Name: "repeaters", Length: patternLength, Kinds: typicalMix(1), RateFactor: burst(2.5), CallerRetries: 3}
}

// Shift has all callers use one node in three during the disturbance.
func Shift() Pattern {
	return Pattern{
		Name: "shift", Length: patternLength, Kinds: typicalMix(1.2),
		PickNode: func(at time.Duration, random float64, nodes int) int {
			if at >= disturbanceStart && at < disturbanceEnd {
				nodes = max(1, nodes/3)
			}
			return int(random * float64(nodes))
		},
	}
}

// EngineCrash has three engines crash in a burst, a third of those of
// [DefaultSetup].
func EngineCrash() Pattern {
	return Pattern{
		Name: "engine crash", Length: patternLength, Kinds: typicalMix(1), RateFactor: burst(1.5),
		CrashedEngines: 3, CrashAt: disturbanceStart + 2*time.Second,
	}
}

// Restart has all nodes restart without state under load; callers whose
// requests are pending submit them again at once.
func Restart() Pattern {
	return Pattern{Name: "restart", Length: patternLength, Kinds: typicalMix(1.2), RestartAt: disturbanceStart}
}

// Patterns returns all patterns.
func Patterns() []Pattern {
	return []Pattern{Steady(), Burst(), HotPrefix(), HotTeam(), EagerRetries(), Shift(), EngineCrash(), Restart()}
}

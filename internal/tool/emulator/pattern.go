package emulator

import "time"

// Kind is a kind of request with its share of the arrivals.
type Kind struct {
	Route string
	// Rate is the arrivals per second of all callers.
	Rate float64
	// Shared and Own are the prompt's tokens that several requests and only
	// this one have; Output is the tokens generated.
	Shared, Own, Output int
	// Subjects is how many shared parts there are.
	Subjects int
	// Goal is the time to the first event that callers expect.
	Goal time.Duration
	// Worth is what an answer in time is worth to callers; one that is late
	// is worth lateWorth of it.
	Worth float64
}

// lateWorth is the part of an answer's worth that is left when it is late.
const lateWorth = 0.1

// Pattern is the load of a run.
type Pattern struct {
	Name   string
	Length time.Duration
	Kinds  []Kind
	// Change returns the factor of a kind's rate at a time; nil is 1 always.
	Change func(at time.Duration, route string) float64
	// HotSubject is the part of the requests of each kind that are about one
	// subject, HotTeam the part that come from one team.
	HotSubject, HotTeam float64
	// Node chooses a caller's node, given a number drawn from 0 to 1; nil is
	// evenly over all nodes.
	Node func(at time.Duration, draw float64, nodes int) int
	// Repeats is how often callers repeat a refused request at once, without
	// regard to when they were told to come back.
	Repeats int
	// LoseEngines is how many engines crash at LoseAt.
	LoseEngines int
	LoseAt      time.Duration
	// CutNodes is how many nodes hear nothing of the others, from CutAt for CutFor.
	CutNodes      int
	CutAt, CutFor time.Duration
	// Broken is the part of the runs whose answer breaks off, Refused the part
	// of the arrivals that upstreams refuse.
	Broken, Refused float64
	// RestartAt is when all nodes lose their memory; zero is never.
	RestartAt time.Duration
}

// usual is the mix of a day: long drafts, short questions, short checks and
// plain bookings.
func usual(scale float64) []Kind {
	return []Kind{
		{Route: "plan", Rate: 25 * scale, Shared: 5400, Own: 6600, Output: 380, Subjects: 70, Goal: time.Second, Worth: 4.6},
		{Route: "ask", Rate: 25 * scale, Shared: 200, Own: 630, Output: 300, Subjects: 90, Goal: 500 * time.Millisecond, Worth: 1.5},
		{Route: "check", Rate: 35 * scale, Shared: 570, Own: 1800, Output: 20, Subjects: 140, Goal: 500 * time.Millisecond, Worth: 0.5},
		{Route: "book", Rate: 20 * scale, Goal: 300 * time.Millisecond, Worth: 1},
	}
}

const (
	// patternLength is the length of each pattern.
	patternLength = 30 * time.Second
	// troubleAt and troubleEnd bound what is unusual in each pattern.
	troubleAt  = 10 * time.Second
	troubleEnd = 18 * time.Second
)

// during returns a factor of all rates while the trouble lasts.
func during(factor float64) func(time.Duration, string) float64 {
	return func(at time.Duration, _ string) float64 {
		if at >= troubleAt && at < troubleEnd {
			return factor
		}
		return 1
	}
}

// Steady is a load that the engines carry.
func Steady() Pattern {
	return Pattern{Name: "steady", Length: patternLength, Kinds: usual(1)}
}

// Burst is three times the usual load for a while.
func Burst() Pattern {
	return Pattern{Name: "burst", Length: patternLength, Kinds: usual(1), Change: during(3)}
}

// HotSubject has most requests about one subject.
func HotSubject() Pattern {
	return Pattern{Name: "hot subject", Length: patternLength, Kinds: usual(1.3), HotSubject: 0.6}
}

// HotTeam has one team send most of a burst.
func HotTeam() Pattern {
	return Pattern{Name: "hot team", Length: patternLength, Kinds: usual(1), Change: during(3), HotTeam: 0.7}
}

// Repeaters has callers repeat at once, thrice, in a burst.
func Repeaters() Pattern {
	return Pattern{Name: "repeaters", Length: patternLength, Kinds: usual(1), Change: during(2.5), Repeats: 3}
}

// Shift has all callers move to one node in three for a while.
func Shift() Pattern {
	return Pattern{
		Name: "shift", Length: patternLength, Kinds: usual(1.2),
		Node: func(at time.Duration, draw float64, nodes int) int {
			if at >= troubleAt && at < troubleEnd {
				nodes = max(1, nodes/3)
			}
			return int(draw * float64(nodes))
		},
	}
}

// LostEngines has a third of the engines crash in a burst.
func LostEngines() Pattern {
	return Pattern{
		Name: "lost engines", Length: patternLength, Kinds: usual(1), Change: during(1.5),
		LoseEngines: 3, LoseAt: troubleAt + 2*time.Second,
	}
}

// Restart has all nodes lose their memory under load, with callers back at once.
func Restart() Pattern {
	return Pattern{Name: "restart", Length: patternLength, Kinds: usual(1.2), RestartAt: troubleAt}
}

// Patterns returns all patterns.
func Patterns() []Pattern {
	return []Pattern{Steady(), Burst(), HotSubject(), HotTeam(), Repeaters(), Shift(), LostEngines(), Restart()}
}

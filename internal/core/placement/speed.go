package placement

import "time"

// Speed is what the placement assumes of a service's engines.
type Speed struct {
	// PrefillRate is the prompt tokens read in a second.
	PrefillRate float64
	// SlotCost is how much each running request delays a new one's first
	// token, through longer steps.
	SlotCost time.Duration
	// TokenCost is the engine time of a generated token in a usual batch.
	TokenCost time.Duration
	// FirstTime passes between the last prompt token read and the first event
	// at the caller.
	FirstTime time.Duration
}

// DefaultSpeed is assumed of engines whose speed has not been learnt.
var DefaultSpeed = Speed{
	PrefillRate: 60_000,
	SlotCost:    500 * time.Microsecond,
	TokenCost:   150 * time.Microsecond,
	FirstTime:   40 * time.Millisecond,
}

// ReadTime returns the time to read prompt tokens.
func (s Speed) ReadTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.PrefillRate * float64(time.Second))
}

const (
	// leastSample is the tokens below which the time to the first event says
	// little of the rate at which they are read.
	leastSample = 3000
	// sampleMemory is the part of the former samples that is kept with each
	// new one, so that about thirty count.
	sampleMemory = 0.97
	// priorTime is the weight of DefaultSpeed before there are samples, as
	// time spent on reading; a prompt takes about a tenth of a second.
	priorTime = time.Second
	// caution is the part of the rate learnt that is counted on: parts that
	// other nodes had read there make it look greater than it is.
	caution = 0.85
	// leastRate and mostRate bound what is learnt, in tokens a second.
	leastRate = 5_000
	mostRate  = 500_000
)

// speedMeter learns the rate at which the engines of a service read prompts,
// from the times between dispatches and first events. Its zero value knows
// DefaultSpeed.
type speedMeter struct {
	tokens float64
	time   time.Duration
}

// observe takes in that the tokens placed at an engine up to a request, with
// its own, had been read after the time given.
func (m *speedMeter) observe(tokens, running int, took time.Duration) {
	if tokens < leastSample {
		return
	}
	took -= DefaultSpeed.FirstTime + time.Duration(running)*DefaultSpeed.SlotCost
	if took <= 0 {
		return
	}
	m.start()
	m.tokens = sampleMemory*m.tokens + float64(tokens)
	m.time = time.Duration(sampleMemory*float64(m.time)) + took
}

// start gives the meter its prior if it has none.
func (m *speedMeter) start() {
	if m.time == 0 {
		m.time = priorTime
		m.tokens = DefaultSpeed.PrefillRate / caution * priorTime.Seconds()
	}
}

func (m *speedMeter) speed() Speed {
	m.start()
	speed := DefaultSpeed
	speed.PrefillRate = min(max(caution*m.tokens/m.time.Seconds(), leastRate), mostRate)
	return speed
}

package placement

import "time"

// Speed is the assumed speed of a service's engines.
type Speed struct {
	// PrefillRate is the number of prompt tokens prefilled per second.
	PrefillRate float64
	// SlotCost is the delay that each running request adds to the first token of
	// a new one, because it makes the engine's steps longer.
	SlotCost time.Duration
	// TokenCost is the engine time per generated token at a typical batch size.
	TokenCost time.Duration
	// PostPrefillLatency is the latency from the end of prefill to the first event
	// at the caller.
	PostPrefillLatency time.Duration
}

// DefaultSpeed is assumed for engines whose speed has not been estimated yet.
var DefaultSpeed = Speed{
	PrefillRate:        60_000,
	SlotCost:           500 * time.Microsecond,
	TokenCost:          150 * time.Microsecond,
	PostPrefillLatency: 40 * time.Millisecond,
}

// PrefillTime returns the time to prefill a number of prompt tokens.
func (s Speed) PrefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.PrefillRate * float64(time.Second))
}

const (
	// minSampleTokens is the minimum size of a sample: for fewer tokens the
	// latency of the first event depends little on the prefill rate.
	minSampleTokens = 3000
	// sampleDecay is the factor applied to older samples with each new one, so
	// that the moving average covers about thirty samples.
	sampleDecay = 0.97
	// priorWeight is the initial weight of DefaultSpeed in the moving average, as
	// prefill time. It equals the weight of ten typical prompts of about 100 ms
	// each.
	priorWeight = time.Second
	// safetyFactor is applied to the estimated rate, which is too high where
	// prompt parts were already cached by requests of other nodes.
	safetyFactor = 0.85
	// minRate and maxRate bound the estimate, in tokens per second.
	minRate = 5_000
	maxRate = 500_000
)

// speedEstimator estimates the prefill rate of a service's engines from the
// latency between dispatch and first event. Its zero value estimates
// DefaultSpeed.
type speedEstimator struct {
	// tokens and time are the decayed sums over the samples.
	tokens float64
	time   time.Duration
}

// observe adds a sample: the time in which the engine prefilled the tokens of
// a request and those ahead of it, while a number of other requests ran.
func (e *speedEstimator) observe(tokens, running int, elapsed time.Duration) {
	if tokens < minSampleTokens {
		return
	}
	elapsed -= DefaultSpeed.PostPrefillLatency + time.Duration(running)*DefaultSpeed.SlotCost
	if elapsed <= 0 {
		return
	}
	e.seedPrior()
	e.tokens = sampleDecay*e.tokens + float64(tokens)
	e.time = time.Duration(sampleDecay*float64(e.time)) + elapsed
}

// seedPrior initializes the moving average with DefaultSpeed, once.
func (e *speedEstimator) seedPrior() {
	if e.time == 0 {
		e.time = priorWeight
		// The division cancels the safetyFactor that speed applies.
		e.tokens = DefaultSpeed.PrefillRate / safetyFactor * priorWeight.Seconds()
	}
}

func (e *speedEstimator) speed() Speed {
	e.seedPrior()
	speed := DefaultSpeed
	speed.PrefillRate = min(max(safetyFactor*e.tokens/e.time.Seconds(), minRate), maxRate)
	return speed
}

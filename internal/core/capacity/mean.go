package capacity

import "time"

// mean is a moving average over a number of samples. Its zero value has none.
type mean struct {
	value float64
	// weight is the weight of the samples in it.
	weight float64
}

// add adds a value with a weight of at most 1. The older ones weigh at most maxWeight together.
func (m *mean) add(value, weight, maxWeight float64) {
	m.weight = min(m.weight+weight, maxWeight)
	m.value += weight / m.weight * (value - m.value)
}

// shrunk returns the mean with the assumption that the value is 0, which has the weight of
// priorWeight, after a time without samples.
func (m *mean) shrunk(elapsed time.Duration) float64 {
	weight := m.weight * halved(elapsed, memory)
	return m.value * weight / (weight + priorWeight)
}

package metrics

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the upper bound of a histogram's range. Longer latencies are
	// recorded as maxLatency.
	maxLatency = time.Minute
	// significantDigits is the precision of a histogram, in decimal digits.
	significantDigits = 2
	// maxNames bounds the number of names with a histogram of their own, since
	// each histogram takes memory.
	maxNames = 64
	// otherName is the name of the histogram for all names beyond maxNames.
	otherName = "other"
)

// bucketBounds are the upper bounds of the cumulative buckets that are published
// per histogram.
var bucketBounds = []time.Duration{
	10 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond,
	500 * time.Millisecond, time.Second, 2500 * time.Millisecond, 5 * time.Second, 15 * time.Second,
}

// Latencies holds a latency histogram per name. It is an expvar variable and
// safe for concurrent use.
type Latencies struct {
	mu     sync.Mutex
	byName map[string]*hdrhistogram.Histogram
}

// NewLatencies returns a Latencies without histograms.
func NewLatencies() *Latencies {
	return &Latencies{byName: make(map[string]*hdrhistogram.Histogram)}
}

// Observe records a latency under a name. A latency above maxLatency is
// recorded as maxLatency.
func (l *Latencies) Observe(name string, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.histogram(name)
	// The value is within the histogram's range, so RecordValue can't fail.
	_ = h.RecordValue(max(0, min(latency, maxLatency).Milliseconds()))
}

func (l *Latencies) histogram(name string) *hdrhistogram.Histogram {
	if l.byName[name] == nil && len(l.byName) >= maxNames {
		name = otherName
	}
	h := l.byName[name]
	if h == nil {
		h = hdrhistogram.New(1, maxLatency.Milliseconds(), significantDigits)
		l.byName[name] = h
	}
	return h
}

// String returns a JSON object with the summary of each histogram by its name.
func (l *Latencies) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	values := make(map[string]map[string]int64, len(l.byName))
	for name, h := range l.byName {
		values[name] = summary(h)
	}
	// Encoding maps of strings and numbers can't fail.
	text, _ := json.Marshal(values)
	return string(text)
}

// summary returns a histogram's count, its quantiles and maximum in
// milliseconds, and per bucket the number of latencies up to its bound.
func summary(h *hdrhistogram.Histogram) map[string]int64 {
	values := map[string]int64{
		"count":  h.TotalCount(),
		"p50_ms": h.ValueAtQuantile(50),
		"p95_ms": h.ValueAtQuantile(95),
		"p99_ms": h.ValueAtQuantile(99),
		"max_ms": h.Max(),
	}
	cumulative := int64(0)
	bars := h.Distribution()
	for _, bound := range bucketBounds {
		for len(bars) > 0 && bars[0].To <= bound.Milliseconds() {
			cumulative += bars[0].Count
			bars = bars[1:]
		}
		values[fmt.Sprintf("le_%d_ms", bound.Milliseconds())] = cumulative
	}
	return values
}

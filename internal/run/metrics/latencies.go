package metrics

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// longest is the longest latency that is told apart from longer ones.
	longest = time.Minute
	// digits is how many decimal digits of a latency are kept.
	digits = 2
	// namesMax bounds the names that have a histogram of their own.
	namesMax = 64
	// otherName stands for all names beyond these.
	otherName = "other"
)

// steps are the latencies for which a histogram tells how many were no longer.
var steps = []time.Duration{
	10 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond,
	500 * time.Millisecond, time.Second, 2500 * time.Millisecond, 5 * time.Second, 15 * time.Second,
}

// Latencies holds a histogram for each name. It is an expvar variable.
type Latencies struct {
	mu     sync.Mutex
	byName map[string]*hdrhistogram.Histogram
}

// NewLatencies returns a variable without histograms.
func NewLatencies() *Latencies {
	return &Latencies{byName: make(map[string]*hdrhistogram.Histogram)}
}

// Observe adds a latency. Those beyond a minute count as a minute.
func (l *Latencies) Observe(name string, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.histogram(name)
	// The value is within the histogram's range, so that it is always taken.
	_ = h.RecordValue(max(0, min(took, longest).Milliseconds()))
}

func (l *Latencies) histogram(name string) *hdrhistogram.Histogram {
	if l.byName[name] == nil && len(l.byName) >= namesMax {
		name = otherName
	}
	h := l.byName[name]
	if h == nil {
		h = hdrhistogram.New(1, longest.Milliseconds(), digits)
		l.byName[name] = h
	}
	return h
}

// String returns the histograms as a JSON object by name.
func (l *Latencies) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	values := make(map[string]map[string]int64, len(l.byName))
	for name, h := range l.byName {
		values[name] = summary(h)
	}
	// Maps of strings and numbers can always be encoded.
	text, _ := json.Marshal(values)
	return string(text)
}

// summary returns a histogram's quantiles in milliseconds and how many
// latencies were no longer than each step.
func summary(h *hdrhistogram.Histogram) map[string]int64 {
	values := map[string]int64{
		"count":  h.TotalCount(),
		"p50_ms": h.ValueAtQuantile(50),
		"p95_ms": h.ValueAtQuantile(95),
		"p99_ms": h.ValueAtQuantile(99),
		"max_ms": h.Max(),
	}
	upTo := int64(0)
	bars := h.Distribution()
	for _, step := range steps {
		for len(bars) > 0 && bars[0].To <= step.Milliseconds() {
			upTo += bars[0].Count
			bars = bars[1:]
		}
		values[fmt.Sprintf("le_%d_ms", step.Milliseconds())] = upTo
	}
	return values
}

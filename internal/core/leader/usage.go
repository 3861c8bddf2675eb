package leader

import (
	"maps"
	"time"
)

// retainedWindows is the number of windows retained: the current one and those
// whose reports may still be due.
const retainedWindows = 6

// Counter counts the requests begun in each window by team.
type Counter struct {
	window time.Duration
	counts map[int64]map[string]int64
}

// NewCounter returns a counter with windows of the given length.
func NewCounter(window time.Duration) *Counter {
	return &Counter{window: window, counts: make(map[int64]map[string]int64)}
}

// Window returns the number of the window that contains the time. Windows are
// numbered from the Unix epoch.
func (c *Counter) Window(t time.Time) int64 {
	return t.UnixNano() / int64(c.window)
}

// End returns the end of a window.
func (c *Counter) End(window int64) time.Time {
	return time.Unix(0, (window+1)*int64(c.window))
}

// Add counts a request of the team that began at time t.
func (c *Counter) Add(t time.Time, team string) {
	w := c.Window(t)
	counts := c.counts[w]
	if counts == nil {
		counts = make(map[string]int64)
		c.counts[w] = counts
		delete(c.counts, w-retainedWindows)
	}
	counts[team]++
}

// Latest returns the counts of the retained windows up to the one that
// contains the time t.
func (c *Counter) Latest(t time.Time) map[int64]map[string]int64 {
	latest := make(map[int64]map[string]int64)
	for w := c.Window(t) - retainedWindows + 1; w <= c.Window(t); w++ {
		if counts, ok := c.counts[w]; ok {
			latest[w] = maps.Clone(counts)
		}
	}
	return latest
}

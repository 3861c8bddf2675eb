package metrics

import (
	"encoding/json"
	"expvar"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestLatenciesReportQuantilesAndBuckets(t *testing.T) {
	c := qt.New(t)
	l := NewLatencies()
	for i := 1; i <= 100; i++ {
		l.Observe("plan", time.Duration(i)*10*time.Millisecond)
	}
	l.Observe("ask", time.Hour)
	var values map[string]map[string]int64
	c.Assert(json.Unmarshal([]byte(l.String()), &values), qt.IsNil)
	plan := values["plan"]
	c.Assert(plan["count"], qt.Equals, int64(100))
	c.Assert(plan["le_10_ms"], qt.Equals, int64(1))
	c.Assert(plan["le_50_ms"], qt.Equals, int64(5))
	c.Assert(plan["le_2500_ms"], qt.Equals, int64(100))
	c.Assert(plan["p50_ms"] >= 490 && plan["p50_ms"] <= 510, qt.IsTrue, qt.Commentf("%d", plan["p50_ms"]))
	c.Assert(values["ask"]["le_15000_ms"], qt.Equals, int64(0))
	c.Assert(values["ask"]["max_ms"] >= maxLatency.Milliseconds()*99/100, qt.IsTrue)
}

// TestNamesBeyondLimitShareHistogram checks that the names beyond maxNames share
// one histogram, so that a large configuration can't exhaust the memory.
func TestNamesBeyondLimitShareHistogram(t *testing.T) {
	c := qt.New(t)
	l := NewLatencies()
	for i := range 2 * maxNames {
		l.Observe(fmt.Sprint("route", i), time.Millisecond)
	}
	c.Assert(len(l.byName), qt.Equals, maxNames+1)
	c.Assert(l.byName[otherName].TotalCount(), qt.Equals, int64(maxNames))
}

func TestPageShowsNumbers(t *testing.T) {
	c := qt.New(t)
	counts := expvar.NewMap("test_counts")
	counts.Add("quota", 12)
	l := NewLatencies()
	l.Observe("plan", 300*time.Millisecond)
	expvar.Publish("test_latency", l)
	w := httptest.NewRecorder()
	Page().ServeHTTP(w, httptest.NewRequest("GET", Path, nil))
	page := w.Body.String()
	c.Assert(page, qt.Contains, "test_counts.quota 12\n")
	c.Assert(page, qt.Contains, "test_latency.plan.count 1\n")
	c.Assert(page, qt.Contains, "test_latency.plan.le_500_ms 1\n")
	c.Assert(page, qt.Contains, "memstats.HeapAlloc ")
}

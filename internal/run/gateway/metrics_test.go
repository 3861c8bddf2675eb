package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	core "monsoonlanding/internal/core/gateway"
	"monsoonlanding/internal/run/metrics"
)

func metricsPage(c *qt.C) string {
	w := httptest.NewRecorder()
	metricsHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, metrics.Path, nil))
	c.Assert(w.Code, qt.Equals, http.StatusOK)
	return w.Body.String()
}

// TestMetricsListEveryLabelFromTheStart checks that operators find every label
// on the metrics page before it is first counted.
func TestMetricsListEveryLabelFromTheStart(t *testing.T) {
	c := qt.New(t)
	text := metricsPage(c)
	for _, reason := range core.Reasons() {
		c.Check(text, qt.Contains, string(core.CountRefusal)+"."+string(reason)+" ")
	}
	for _, cause := range core.RetryCauses() {
		c.Check(text, qt.Contains, string(core.CountRetry)+"."+cause+" ")
	}
	for _, result := range core.Results() {
		c.Check(text, qt.Contains, string(core.CountResult)+"."+string(result)+" ")
	}
}

func TestServedRequestIsInHistograms(t *testing.T) {
	c := qt.New(t)
	server, r := newTestNode(c, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "good") })
	resp, err := get(c, context.Background(), server, "/q/1")
	c.Assert(err, qt.IsNil)
	c.Assert(resp.Body.Close(), qt.IsNil)
	state.runner.Store(r)
	text := metricsPage(c)
	for _, timing := range []core.Timing{core.TimeWaited, core.TimeBegan, core.TimeComplete} {
		c.Check(text, qt.Contains, string(timing)+".query.p95_ms ")
	}
	c.Check(text, qt.Contains, "gateway_state.services.s.upstreams 1\n")
	c.Check(text, qt.Contains, "gateway_state.config_version 1\n")
}

// TestInvalidEntryIsLoggedOnce guards against a log full of the same line: an
// invalid entry is read again several times per second.
func TestInvalidEntryIsLoggedOnce(t *testing.T) {
	c := qt.New(t)
	r := newTestRunner()
	var out bytes.Buffer
	r.log = zerolog.New(&out)
	first, second := []error{errors.New("entry a")}, []error{errors.New("entry b")}
	reported := ""
	for _, problems := range [][]error{first, first, nil, first, second, second} {
		reported = r.logProblems(Feed{Name: "upstreams"}, problems, reported)
	}
	c.Assert(strings.Count(out.String(), "entry a"), qt.Equals, 1)
	c.Assert(strings.Count(out.String(), "entry b"), qt.Equals, 1)
}

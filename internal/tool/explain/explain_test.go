package explain

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const (
	logA = `   2.1 edge-a {"level":"info","node":"edge-a","step":"place","request":"r1","upstream":"i-1","attempt":1,"time":"2026-01-02T03:04:05.100Z","message":"dispatched"}
{"level":"info","node":"edge-a","step":"place","request":"r2","time":"2026-01-02T03:04:05.100Z","message":"dispatched"}
not a line about r1
{"level":"warn","node":"edge-a","step":"move","peer":"r1","time":"2026-01-02T03:04:05.100Z","message":"other"}
`
	logB = `{"level":"info","node":"edge-b","step":"refuse","request":"r1","time":"2026-01-02T03:04:04.900Z","message":"overload"}
`
)

func TestTraceIsInOrder(t *testing.T) {
	c := qt.New(t)
	trace, err := Read("r1", strings.NewReader(logA), strings.NewReader(logB))
	c.Assert(err, qt.IsNil)
	var out strings.Builder
	c.Assert(trace.Print(&out), qt.IsNil)
	c.Assert(out.String(), qt.Equals, "03:04:04.900 edge-b refuse  overload  \n"+
		"03:04:05.100 edge-a place   dispatched  attempt=1 upstream=i-1\n")
	c.Assert(trace.Unparsed, qt.Equals, 1)
}

func TestUnknownRequest(t *testing.T) {
	c := qt.New(t)
	trace, err := Read("r9", strings.NewReader(logA))
	c.Assert(err, qt.IsNil)
	var out strings.Builder
	c.Assert(trace.Print(&out), qt.IsNil)
	c.Assert(out.String(), qt.Equals, "no line about request r9\n")
}

// TestTracesFromLogs reads excerpts of the logs of six nodes from a day with
// faults; the names of VMs, teams and routes are replaced.
func TestTracesFromLogs(t *testing.T) {
	for _, s := range []struct {
		name, request string
		steps         []string
		cause         string
	}{
		{"refused", "fa8bfd365fdc2afa", []string{"quota quota spent", "refuse quota"}, "cost=6031 left=-47639"},
		{"late", "2412eca38ce48215", []string{"place dispatched", "begin answer began", "end complete"}, "input=55345"},
		{"failed", "117fbcddbadd9c54", []string{
			"place dispatched", "end unreachable", "place dispatched", "begin answer began", "end broken", "refuse failed",
		}, "unexpected EOF"},
	} {
		t.Run(s.name, func(t *testing.T) {
			c := qt.New(t)
			trace, err := Read(s.request, openLogs(c)...)
			c.Assert(err, qt.IsNil)
			var steps []string
			for _, l := range trace.Lines {
				steps = append(steps, l.Step+" "+l.Message)
			}
			c.Assert(steps, qt.DeepEquals, s.steps)
			var out strings.Builder
			c.Assert(trace.Print(&out), qt.IsNil)
			c.Assert(out.String(), qt.Contains, s.cause)
		})
	}
}

func openLogs(c *qt.C) []io.Reader {
	paths, err := filepath.Glob(filepath.Join("testdata", "*.log"))
	c.Assert(err, qt.IsNil)
	c.Assert(len(paths) > 1, qt.IsTrue)
	var logs []io.Reader
	for _, path := range paths {
		f, err := os.Open(path)
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { c.Check(f.Close(), qt.IsNil) })
		logs = append(logs, f)
	}
	return logs
}

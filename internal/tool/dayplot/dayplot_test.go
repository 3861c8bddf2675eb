package dayplot

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const lines = `{"step":"upstream","upstream":"i-1","state":"ready","time":"2026-01-02T03:04:05Z"}
 0.1 a {"step":"upstream","upstream":"i-2","state":"ready","time":"2026-01-02T03:04:06Z"}
{"step":"wait","request":"r1","time":"2026-01-02T03:04:06.1Z"}
{"step":"begin","request":"r1","age_ms":120,"time":"2026-01-02T03:04:06.2Z"}
{"step":"refuse","request":"r2","message":"overload","time":"2026-01-02T03:04:07Z"}
{"step":"upstream","upstream":"i-1","state":"draining","time":"2026-01-02T03:04:07.5Z"}
not a line
`

func TestCountsPerSecond(t *testing.T) {
	c := qt.New(t)
	d, err := Read(strings.NewReader(lines))
	c.Assert(err, qt.IsNil)
	c.Assert(d.lastSecond(), qt.Equals, 2)
	c.Assert([]int{d.readyAt(0), d.readyAt(1), d.readyAt(2)}, qt.DeepEquals, []int{1, 2, 1})
	c.Assert(d.quantile(50)(1), qt.Equals, 120.0)
	c.Assert(d.waiting(1), qt.Equals, 1.0)
	c.Assert(d.refused(2), qt.Equals, 1.0)
}

func TestDraw(t *testing.T) {
	c := qt.New(t)
	d, err := Read(strings.NewReader(lines))
	c.Assert(err, qt.IsNil)
	path := filepath.Join(c.TempDir(), "day.svg")
	c.Assert(d.Draw(path), qt.IsNil)
	text, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	c.Assert(string(text), qt.Contains, "<svg")
	c.Assert(d.Draw(filepath.Join(c.TempDir(), "day.odd")), qt.ErrorMatches, "format of .*")
}

func TestReadWithoutLines(t *testing.T) {
	c := qt.New(t)
	_, err := Read(strings.NewReader("nothing\n"))
	c.Assert(err, qt.ErrorMatches, "the logs have no line with a time")
}

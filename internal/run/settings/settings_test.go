package settings

import (
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/placement"
)

func TestExampleIsValid(t *testing.T) {
	c := qt.New(t)
	text, err := os.ReadFile("../../../examples/node.toml")
	c.Assert(err, qt.IsNil)
	s, problems := Parse(string(text))
	c.Assert(problems, qt.HasLen, 0)
	c.Assert(s.Zone, qt.Equals, "prairie-west-a")
}

func TestAllProblemsReported(t *testing.T) {
	c := qt.New(t)
	_, problems := Parse(`name = "a"
colour = 1
zone = 3
[listen]
caller = "localhost:80"
peer = "127.0.0.1:1"
operator = "127.0.0.1:2"
[platform]
objects = "http://127.0.0.1:3"
cloud = "nonsense"
token = "t"
[peers]
token = "t"
[operator]
token = "t"
[limits]
queue_count = -1
`)
	var got []string
	for _, p := range problems {
		got = append(got, p.String())
	}
	c.Assert(got, qt.Contains, "line 2: colour: unknown key")
	c.Assert(got, qt.Contains, `line 5: listen.caller: "localhost" is not an IP number`)
	c.Assert(got, qt.Contains, `line 10: platform.cloud: "nonsense" is no http URL`)
	c.Assert(got, qt.Contains, "line 17: limits.queue_count: must be more than zero")
	found := false
	for _, p := range problems {
		found = found || p.Line == 3
	}
	c.Assert(found, qt.IsTrue, qt.Commentf("%v", got))
}

func TestGatewayExampleIsValid(t *testing.T) {
	c := qt.New(t)
	text, err := os.ReadFile("../../../examples/gateway.toml")
	c.Assert(err, qt.IsNil)
	s, problems := ParseGateway(string(text))
	c.Assert(problems, qt.HasLen, 0)
	c.Assert(s.Bounds.RetrySlack, qt.Equals, 54.0)
	c.Assert(s.Bounds.Lease.Duration, qt.Equals, 3*time.Second)
	c.Assert(s.Placement.Learn, qt.Equals, placement.LearnOff)
}

// TestGatewayLearning: what is learned of upstreams is off unless a settings file says otherwise.
func TestGatewayLearning(t *testing.T) {
	c := qt.New(t)
	for _, learn := range []placement.Learning{placement.LearnOff, placement.LearnReported, placement.LearnOn} {
		s, problems := ParseGateway("[placement]\nlearn = \"" + string(learn) + "\"\n")
		c.Assert(s.Placement.Learn, qt.Equals, learn)
		for _, p := range problems {
			c.Assert(p.Key, qt.Not(qt.Equals), "placement.learn")
		}
	}
	_, problems := ParseGateway("[placement]\nlearn = \"some\"\n")
	found := false
	for _, p := range problems {
		found = found || p.Key == "placement.learn" && p.Line == 2
	}
	c.Assert(found, qt.IsTrue)
}

func TestGatewayAllProblemsReported(t *testing.T) {
	c := qt.New(t)
	_, problems := ParseGateway(`name = "a"
duties = ["sweep"]
odd = 1
[listen]
caller = "here"
[bounds]
grace = "0s"
retry_ratio = -1.0
`)
	var keys []string
	for _, p := range problems {
		keys = append(keys, p.Key)
	}
	c.Assert(keys, qt.DeepEquals, []string{
		"odd", "zone", "peers.token", "listen.caller", "listen.ready", "listen.directory", "listen.peer", "listen.metrics",
		"platform.store", "platform.cloud", "bounds.grace", "bounds.retry_ratio", "duties",
	})
}

// TestEvacuationBound: deployments without evacuations have no bound for them, and a malformed one is
// reported.
func TestEvacuationBound(t *testing.T) {
	for _, test := range []struct {
		line string
		want time.Duration
		ok   bool
	}{
		{"", 0, true},
		{`evacuation = "5000ms"`, 5 * time.Second, true},
		{`evacuation = "0s"`, 0, true},
		{`evacuation = "-1s"`, -time.Second, false},
		{`evacuation = "ms"`, 0, false},
	} {
		t.Run(test.line, func(t *testing.T) {
			c := qt.New(t)
			s, problems := ParseGateway("[bounds]\n" + test.line + "\n")
			reported := false
			for _, p := range problems {
				reported = reported || p.Key == "bounds.evacuation" || p.Line == 2
			}
			c.Assert(reported, qt.Equals, !test.ok)
			c.Assert(s.Bounds.Evacuation.Duration, qt.Equals, test.want)
		})
	}
}

// TestMachine: a size has a unit, and too little memory or too few descriptors are a problem.
func TestMachine(t *testing.T) {
	for text, want := range map[string]GatewayMachine{
		"":                                       {Memory: Size{Bytes: 512e6}, Descriptors: 4096},
		"memory = \"160MB\"\ndescriptors = 4100": {Memory: Size{Bytes: 160e6}, Descriptors: 4100},
		"memory = \"1.5GB\"":                     {Memory: Size{Bytes: 15e8}, Descriptors: 4096},
	} {
		s, _ := ParseGateway("[machine]\n" + text)
		qt.Check(t, s.Machine, qt.Equals, want, qt.Commentf("%s", text))
	}
	for _, text := range []string{`memory = "160"`, `memory = "lots"`, `memory = "-1MB"`, `memory = "1e30GB"`, `memory = "8MB"`, `memory = 8`, `descriptors = 8`, `descriptors = "x"`} {
		_, problems := ParseGateway("[machine]\n" + text)
		found := false
		for _, p := range problems {
			found = found || p.Line == 2
		}
		qt.Check(t, found, qt.IsTrue, qt.Commentf("%s: %v", text, problems))
	}
}

package emulator

import (
	"flag"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"monsoonlanding/internal/core/gateway"
)

const (
	// fuzzLength is the length of a random pattern, short so that many can run.
	fuzzLength = 12 * time.Second
	// fuzzQuota is a quota in tokens per second that a hot team exceeds and the
	// others don't.
	fuzzQuota = 120_000
)

// plays is the number of times that rows with random load are played, each with
// another seed.
var plays = flag.Uint64("emulator.plays", 2, "number of plays of each row")

// TestMain fixes the seed and the number of random patterns, so that results are
// reproducible; -rapid.seed and -rapid.checks override them.
func TestMain(m *testing.M) {
	given := make(map[string]bool)
	flag.Parse()
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "12", "rapid.nofailfile": "true", "rapid.shrinktime": "10s"} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// randomPattern draws a pattern with a random load and several faults at once.
func randomPattern(t *rapid.T) Pattern {
	second := func(name string, lowest, highest int) time.Duration {
		return time.Duration(rapid.IntRange(lowest, highest).Draw(t, name)) * time.Second
	}
	factor := rapid.Float64Range(1, 4).Draw(t, "burst")
	p := Pattern{
		Name: "random", Length: fuzzLength, Kinds: typicalMix(1),
		RateFactor:      func(time.Duration, string) float64 { return factor },
		HotTeam:         rapid.Float64Range(0, 0.9).Draw(t, "hot team"),
		HotPrefix:       rapid.Float64Range(0, 0.9).Draw(t, "hot prefix"),
		CallerRetries:   rapid.IntRange(0, 3).Draw(t, "caller retries"),
		BrokenFraction:  rapid.Float64Range(0, 0.5).Draw(t, "broken"),
		RefusedFraction: rapid.Float64Range(0, 0.5).Draw(t, "refused"),
	}
	if rapid.Bool().Draw(t, "crash engines") {
		p.CrashedEngines, p.CrashAt = rapid.IntRange(1, 6).Draw(t, "engines"), second("crash at", 1, 10)
	}
	if rapid.Bool().Draw(t, "restart") {
		p.RestartAt = second("restart at", 1, 10)
	}
	if rapid.Bool().Draw(t, "partition") {
		p.PartitionedNodes = rapid.IntRange(1, 5).Draw(t, "nodes")
		p.PartitionAt, p.PartitionDuration = second("partition at", 1, 6), second("partition for", 1, 6)
	}
	return p
}

// TestRandomPatterns checks the guarantees under random load and faults. To run
// more of them:
//
//	go test ./internal/tool/emulator -run RandomPatterns -rapid.checks=500 -rapid.seed=7
func TestRandomPatterns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		setup := DefaultSetup(rapid.Uint64().Draw(t, "seed"))
		setup.Quota = fuzzQuota
		if violations := Run(setup, randomPattern(t)).Violations; len(violations) > 0 {
			t.Fatalf("%d guarantees violated, the first: %s", len(violations), violations[0])
		}
	})
}

// TestPatternsKeepGuarantees checks the guarantees under all fixed patterns, with
// quotas.
func TestPatternsKeepGuarantees(t *testing.T) {
	for _, p := range Patterns() {
		t.Run(p.Name, func(t *testing.T) {
			setup := DefaultSetup(1)
			setup.Quota = fuzzQuota
			qt.Assert(t, Run(setup, p).Violations, qt.HasLen, 0)
		})
	}
}

// TestOracleDetectsDefects checks that the oracle reports nodes whose bounds
// exceed the guaranteed ones, and nodes that take a broken run for a refusal
// without a run.
func TestOracleDetectsDefects(t *testing.T) {
	pattern := HotTeam()
	pattern.BrokenFraction, pattern.RefusedFraction = 0.4, 0.4
	for name, inject := range map[string]func(*Setup){
		"quota":   func(s *Setup) { s.Bounds.QuotaSlack *= 20 },
		"retries": func(s *Setup) { s.Bounds.RetryRatio, s.Bounds.RetrySlack = 2, 2000 },
		"run": func(s *Setup) {
			s.Result = func(r gateway.Result) gateway.Result {
				if r == gateway.ResultBroken {
					return gateway.ResultRefused
				}
				return r
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			setup := DefaultSetup(1)
			setup.Quota = fuzzQuota
			c.Assert(Run(setup, pattern).Violations, qt.HasLen, 0)
			inject(&setup)
			c.Assert(len(Run(setup, pattern).Violations) > 0, qt.IsTrue)
		})
	}
}

// TestRestartKeepsRetryBudget guards against restarted nodes that have lost count
// of their retries and spend the slack of the retry budget a second time within
// the same window. The values are from a random pattern.
func TestRestartKeepsRetryBudget(t *testing.T) {
	setup := DefaultSetup(0)
	setup.Quota = fuzzQuota
	p := Steady()
	p.Length, p.RestartAt = fuzzLength, 5*time.Second
	p.HotTeam, p.CallerRetries, p.RefusedFraction = 0.9, 3, 0.35257798978793525
	qt.Assert(t, Run(setup, p).Violations, qt.HasLen, 0)
}

// TestPartitionKeepsQuota guards against a partition in which each half of the
// nodes spends the whole quota until it detects that it no longer receives
// status messages from the other half. The values are from a random pattern.
func TestPartitionKeepsQuota(t *testing.T) {
	setup := DefaultSetup(0x2ce)
	setup.Quota = fuzzQuota
	p := Steady()
	p.Length, p.PartitionedNodes, p.PartitionAt, p.PartitionDuration = fuzzLength, 3, 2*time.Second, 6*time.Second
	p.RateFactor = func(time.Duration, string) float64 { return 3.1334131956100464 }
	p.HotTeam, p.BrokenFraction = 0.23643479565662762, 0.45081646760869987
	qt.Assert(t, Run(setup, p).Violations, qt.HasLen, 0)
}

// TestRestartDuringPartitionKeepsQuota guards against spending the quota's
// tolerance twice: by nodes that have just restarted, and by both sides of a
// partition. The values are from a random pattern.
func TestRestartDuringPartitionKeepsQuota(t *testing.T) {
	setup := DefaultSetup(0x35fc6f1)
	setup.Quota = fuzzQuota
	p := Steady()
	p.Length, p.PartitionedNodes, p.PartitionAt, p.PartitionDuration = fuzzLength, 3, 4*time.Second, 6*time.Second
	p.RestartAt, p.CallerRetries, p.RefusedFraction = 6*time.Second, 1, 0.04989823972573504
	p.RateFactor = func(time.Duration, string) float64 { return 2.4781613647937775 }
	qt.Assert(t, Run(setup, p).Violations, qt.HasLen, 0)
}

package experiment

import (
	"encoding/csv"
	"fmt"
	"io"

	"github.com/go-faster/errors"

	"monsoonlanding/internal/core/placement"
	"monsoonlanding/internal/tool/emulator"
)

// PlacementRow is a row of the table: the means over all seeds for one load
// pattern and placement policy.
type PlacementRow struct {
	Pattern, Policy string
	// InTime is the fraction of callers answered in time, Value the same weighted
	// by the value of the answers, and WorstInTime the lowest fraction in time
	// over any five consecutive seconds.
	InTime, Value, WorstInTime float64
	// Recomputed is the fraction of the prefilled prompt tokens that an engine
	// had prefilled before.
	Recomputed float64
}

// placementPolicy is a named way of choosing an upstream by its cost.
type placementPolicy struct {
	name string
	cost placement.Cost
}

var placementPolicies = []placementPolicy{
	{"round robin", placement.RoundRobin},
	{"least loaded", placement.LeastLoaded},
	{"prefix only", placement.PrefixOnly},
	{"least time", placement.LeastTime},
}

// Placement runs all load patterns of the emulator with each placement policy,
// for the seeds from 1 to the given number.
func Placement(seeds int) []PlacementRow {
	var rows []PlacementRow
	for _, pattern := range emulator.Patterns() {
		for _, p := range placementPolicies {
			rows = append(rows, runPlacement(pattern, p, seeds))
		}
	}
	return rows
}

func runPlacement(pattern emulator.Pattern, p placementPolicy, seeds int) PlacementRow {
	row := PlacementRow{Pattern: pattern.Name, Policy: p.name}
	for seed := range seeds {
		setup := emulator.DefaultSetup(uint64(seed + 1))
		setup.Cost = p.cost
		report := emulator.Run(setup, pattern)
		total := report.Total()
		row.InTime += total.InTimeFraction() / float64(seeds)
		row.Value += report.Value() / float64(seeds)
		row.WorstInTime += report.WorstInTime() / float64(seeds)
		row.Recomputed += float64(report.Recomputed) / float64(max(report.Prefilled, 1)) / float64(seeds)
	}
	return row
}

// WritePlacement writes the rows as CSV.
func WritePlacement(w io.Writer, rows []PlacementRow) error {
	out := csv.NewWriter(w)
	_ = out.Write([]string{"pattern", "way", "in_time", "worth", "worst_5_s", "read_again"})
	for _, r := range rows {
		_ = out.Write([]string{
			r.Pattern, r.Policy, fmt.Sprintf("%.3f", r.InTime), fmt.Sprintf("%.3f", r.Value),
			fmt.Sprintf("%.3f", r.WorstInTime), fmt.Sprintf("%.3f", r.Recomputed),
		})
	}
	out.Flush()
	if err := out.Error(); err != nil {
		return errors.Wrap(err, "write placement")
	}
	return nil
}

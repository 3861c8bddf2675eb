package experiment

import (
	"encoding/csv"
	"fmt"
	"io"

	"github.com/go-faster/errors"

	"monsoonlanding/internal/core/placement"
	"monsoonlanding/internal/tool/emulator"
)

// PlacementRow is what one way of choosing an upstream gave on a load pattern,
// as means over the seeds.
type PlacementRow struct {
	Pattern, Way string
	// InTime is the share of callers answered in time, Value the same by what
	// their answers are worth, WorstInTime the least share of any five seconds.
	InTime, Value, WorstInTime float64
	// Recomputed is the part of all prompt tokens read that another engine kept.
	Recomputed float64
}

// way of choosing an upstream; its cost is made for each run.
type placementWay struct {
	name string
	cost placement.Cost
}

var placementWays = []placementWay{
	{"round robin", placement.RoundRobin},
	{"least loaded", placement.LeastLoaded},
	{"prefix only", placement.PrefixOnly},
	{"least time", placement.LeastTime},
}

// Placement plays all load patterns with each way of choosing an upstream, for
// seeds 1 to the number given.
func Placement(seeds int) []PlacementRow {
	var rows []PlacementRow
	for _, pattern := range emulator.Patterns() {
		for _, way := range placementWays {
			rows = append(rows, playPlacement(pattern, way, seeds))
		}
	}
	return rows
}

func playPlacement(pattern emulator.Pattern, way placementWay, seeds int) PlacementRow {
	row := PlacementRow{Pattern: pattern.Name, Way: way.name}
	for seed := range seeds {
		setup := emulator.DefaultSetup(uint64(seed + 1))
		setup.Cost = way.cost
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
			r.Pattern, r.Way, fmt.Sprintf("%.3f", r.InTime), fmt.Sprintf("%.3f", r.Value),
			fmt.Sprintf("%.3f", r.WorstInTime), fmt.Sprintf("%.3f", r.Recomputed),
		})
	}
	out.Flush()
	if err := out.Error(); err != nil {
		return errors.Wrap(err, "write placement")
	}
	return nil
}

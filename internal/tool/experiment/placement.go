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
	// InTime is the share of callers answered in time, Worth the same by what
	// their answers are worth, Worst the least share of any five seconds.
	InTime, Worth, Worst float64
	// Reread is the part of all prompt tokens read that another engine kept.
	Reread float64
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
		all := report.All()
		row.InTime += all.Share() / float64(seeds)
		row.Worth += report.Worth() / float64(seeds)
		row.Worst += report.Worst() / float64(seeds)
		row.Reread += float64(report.Reread) / float64(max(report.Read, 1)) / float64(seeds)
	}
	return row
}

// WritePlacement writes the rows as CSV.
func WritePlacement(w io.Writer, rows []PlacementRow) error {
	out := csv.NewWriter(w)
	_ = out.Write([]string{"pattern", "way", "in_time", "worth", "worst_5_s", "read_again"})
	for _, r := range rows {
		_ = out.Write([]string{
			r.Pattern, r.Way, fmt.Sprintf("%.3f", r.InTime), fmt.Sprintf("%.3f", r.Worth),
			fmt.Sprintf("%.3f", r.Worst), fmt.Sprintf("%.3f", r.Reread),
		})
	}
	out.Flush()
	if err := out.Error(); err != nil {
		return errors.Wrap(err, "write placement")
	}
	return nil
}

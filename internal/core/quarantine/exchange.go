package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Report returns what the other nodes need to know.
func (r *Register) Report(now time.Time) Report {
	return Report{Evidence: r.reportEvidence(now), Broken: r.reportBroken(now), Alive: r.reportAlive(now)}
}

// reportBroken returns the processes that may have crashed just now.
func (r *Register) reportBroken(now time.Time) []uint64 {
	var list []uint64
	for id, involvements := range r.crashes {
		for _, i := range involvements {
			if !i.refuted && now.Sub(i.at) < refuteWindow {
				list = append(list, id)
				break
			}
		}
	}
	slices.Sort(list)
	return list
}

// reportAlive returns the processes that other nodes suspect and that have just
// answered.
func (r *Register) reportAlive(now time.Time) []Life {
	var list []Life
	for id, asked := range r.asked {
		at, known := r.alive[id]
		if age := now.Sub(at); known && age < refuteWindow && now.Sub(asked) < refuteWindow {
			list = append(list, Life{ID: id, Age: age})
		}
	}
	slices.SortFunc(list, func(a, b Life) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// reportEvidence returns the evidence on quarantined traits, on those with several
// crashes and on recent ones, the most crashes first.
func (r *Register) reportEvidence(now time.Time) []Evidence {
	var list []*entry
	for _, e := range r.entries {
		if e.quarantined || len(e.crashes) > 1 || now.Sub(e.lastCrash()) < recentCrash {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b *entry) int {
		return cmp.Or(
			boolCompare(b.quarantined, a.quarantined),
			cmp.Compare(len(b.crashes), len(a.crashes)),
			b.lastCrash().Compare(a.lastCrash()),
			cmp.Compare(a.trait, b.trait),
		)
	})
	var reports []Evidence
	others := 0
	for _, e := range list {
		if !e.quarantined {
			others++
		}
		if others <= maxReported {
			reports = append(reports, e.report(now))
		}
	}
	return reports
}

func boolCompare(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

func (e *entry) report(now time.Time) Evidence {
	out := Evidence{Trait: e.trait, Depth: e.depth, Before: e.before, Since: e.since, Quarantined: e.quarantined}
	for id, i := range e.crashes {
		out.Crashes = append(out.Crashes, Crash{ID: id, Age: now.Sub(i.at), Head: i.head, Refuted: i.refuted, Cleared: i.cleared})
	}
	slices.SortFunc(out.Crashes, func(a, b Crash) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.ID, b.ID))
	})
	out.Crashes = out.Crashes[:min(len(out.Crashes), maxReportedCrashes)]
	return out
}

// Merge adds a peer's report. The evidence of a break only grows, so the order of
// reports does not matter.
func (r *Register) Merge(now time.Time, node string, report Report) {
	for _, id := range report.Broken {
		r.asked[id] = now
	}
	for _, life := range report.Alive {
		r.refute(now.Add(-life.Age), life.ID)
	}
	r.mergeEvidence(now, node, report.Evidence)
}

func (r *Register) mergeEvidence(now time.Time, node string, reports []Evidence) {
	for _, report := range reports {
		for _, c := range report.Crashes {
			r.mergeCrash(now, report, c)
		}
		if e := r.entries[report.Trait]; e != nil {
			e.peers[node] = soundRuns{before: report.Before, since: report.Since}
		}
	}
}

func (r *Register) mergeCrash(now time.Time, report Evidence, c Crash) {
	retention := crashRetention
	if report.Quarantined {
		retention = holdRetention
	}
	if c.Age > retention {
		return
	}
	r.involve(now, report.Trait, report.Depth, c.ID, involvement{
		at: now.Add(-c.Age), head: c.Head, refuted: c.Refuted, cleared: c.Cleared,
	})
}

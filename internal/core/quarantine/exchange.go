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

// reportEvidence returns the evidence on quarantined traits, and on those that the
// evidence of this node speaks against most.
func (r *Register) reportEvidence(now time.Time) []Evidence {
	var reports []Evidence
	var suspects []suspect
	for _, e := range r.entries {
		if e.quarantined {
			reports = append(reports, e.report(now))
			continue
		}
		if s := e.suspect(); s.crashes > 1 || s.crashes == 1 && now.Sub(s.last) < recentCrash {
			suspects = append(suspects, s)
		}
	}
	slices.SortFunc(reports, func(a, b Evidence) int { return cmp.Compare(a.Trait, b.Trait) })
	slices.SortFunc(suspects, compareSuspects)
	for _, s := range suspects[:min(len(suspects), maxReported)] {
		reports = append(reports, s.entry.report(now))
	}
	return reports
}

// suspect is a trait with crashes that are neither refuted nor cleared.
type suspect struct {
	entry   *entry
	crashes int
	last    time.Time
	// weight is the number of crashes less that of the sound runs that outweigh them.
	weight float64
}

func (e *entry) suspect() suspect {
	s := suspect{entry: e}
	for _, i := range e.crashes {
		if i.refuted || i.cleared {
			continue
		}
		s.crashes++
		if i.at.After(s.last) {
			s.last = i.at
		}
	}
	s.weight = float64(s.crashes) - soundWeight*e.sound()
	return s
}

// compareSuspects orders suspects by weight. Parts go before contents, whose
// crashes are mostly all known to one node.
func compareSuspects(a, b suspect) int {
	return cmp.Or(
		cmp.Compare(b.weight, a.weight),
		cmp.Compare(a.entry.trait.rank(), b.entry.trait.rank()),
		b.last.Compare(a.last),
		cmp.Compare(a.entry.trait, b.entry.trait),
	)
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

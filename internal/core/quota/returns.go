package quota

import "time"

// Returns schedules the requests that were refused, by rank: when many are refused at once, each
// is named a time at which the refill covers it after those that were refused before. Without it
// all come back at the same time and most are refused again.
type Returns struct {
	next [RankCount]time.Time
}

// Schedule returns the time after which a refused request may come back, not before earliest. The
// rate is the part of the refill for its rank in units a second. A caller that won't wait for so
// long takes no room in the schedule, and one request takes no more of it than it would wait.
func (r *Returns) Schedule(now time.Time, rank int, cost, rate float64, earliest, longest time.Duration) time.Duration {
	at := now.Add(earliest)
	if r.next[rank].After(at) {
		at = r.next[rank]
	}
	wait := at.Sub(now)
	if wait <= longest && rate > 0 {
		covered := min(cost/rate, longest.Seconds())
		r.next[rank] = at.Add(time.Duration(covered * float64(time.Second)))
	}
	return wait
}

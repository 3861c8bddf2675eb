// Package team queues the requests that wait for a service and shares the
// service fairly between teams.
//
// # Fairness
//
// Each team has a weight. The queue serves the team with the lowest virtual
// time, which advances by 1/weight per request served, so a large team cannot
// starve a small one. Within a team, requests are served by descending
// priority, then by earliest deadline.
//
// # Usage
//
//	q := team.New(team.Limits{Count: 1000, Bytes: 64 << 20})
//	if q.CheckAdmission("a", size) == team.RefusalNone {
//		q.Push(team.Item{Key: "a/1", Team: "a", Weight: 1, Bytes: size})
//	}
//	q.ServeEach(func(it team.Item) bool { return dispatch(it) })
package team

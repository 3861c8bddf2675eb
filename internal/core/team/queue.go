package team

import (
	"slices"
	"sort"
	"time"
)

// Limits bounds a queue.
type Limits struct {
	// Count is the maximum number of waiting requests.
	Count int
	// Bytes is the maximum total size of the waiting requests.
	Bytes int
	// TeamShare is the fraction of Count, from 0 to 1, that one team may
	// occupy while the queue is at least half full.
	TeamShare float64
}

// Item is a waiting request.
type Item struct {
	Key      string
	Team     string
	Weight   float64
	Priority int
	Deadline time.Time
	Bytes    int
}

type teamQueue struct {
	items       []Item
	virtualTime float64
}

// Refusal is the reason why a queue does not admit an item.
type Refusal string

// Reasons for refusing an item; RefusalNone means that the item is admitted.
const (
	RefusalNone      Refusal = ""
	RefusalFull      Refusal = "full"
	RefusalTeamShare Refusal = "share"
)

// Queue holds the waiting requests of one service.
type Queue struct {
	limits Limits
	teams  map[string]*teamQueue
	count  int
	bytes  int
	// systemVirtualTime is the virtual time at which a team was served last. A
	// team whose queue was empty resumes from it at the earliest, so that idle
	// time earns no credit.
	systemVirtualTime float64
}

// New returns an empty queue.
func New(limits Limits) *Queue {
	return &Queue{limits: limits, teams: make(map[string]*teamQueue)}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.count }

// CheckAdmission checks whether the limits allow one more request of a team, and
// returns RefusalNone if they do.
func (q *Queue) CheckAdmission(team string, bytes int) Refusal {
	if q.count >= q.limits.Count || q.bytes+bytes > q.limits.Bytes {
		return RefusalFull
	}
	tq := q.teams[team]
	if tq != nil && 2*q.count >= q.limits.Count && float64(len(tq.items)) >= q.limits.TeamShare*float64(q.limits.Count) {
		return RefusalTeamShare
	}
	return RefusalNone
}

// Push adds an item that has already been admitted. It does not check the
// limits again.
func (q *Queue) Push(it Item) {
	tq := q.teams[it.Team]
	if tq == nil {
		tq = &teamQueue{}
		q.teams[it.Team] = tq
	}
	if len(tq.items) == 0 {
		tq.virtualTime = max(tq.virtualTime, q.systemVirtualTime)
	}
	i := sort.Search(len(tq.items), func(i int) bool { return precedes(it, tq.items[i]) })
	tq.items = slices.Insert(tq.items, i, it)
	q.count++
	q.bytes += it.Bytes
}

func precedes(a, b Item) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	return a.Deadline.Before(b.Deadline)
}

// Remove deletes an item and reports whether it was queued.
func (q *Queue) Remove(team, key string) bool {
	tq := q.teams[team]
	if tq == nil {
		return false
	}
	i := slices.IndexFunc(tq.items, func(it Item) bool { return it.Key == key })
	if i < 0 {
		return false
	}
	q.bytes -= tq.items[i].Bytes
	q.count--
	tq.items = slices.Delete(tq.items, i, i+1)
	return true
}

// ServeEach passes the first item of each team to serve, in order of virtual
// time. When serve returns true, the item is removed and ServeEach starts again
// with the first team. ServeEach returns when serve has declined the first item
// of every team.
func (q *Queue) ServeEach(serve func(Item) bool) {
	for q.serveOne(serve) {
	}
}

func (q *Queue) serveOne(serve func(Item) bool) bool {
	for _, name := range q.teamsByVirtualTime() {
		tq := q.teams[name]
		it := tq.items[0]
		if !serve(it) {
			continue
		}
		q.Remove(name, it.Key)
		q.systemVirtualTime = tq.virtualTime
		tq.virtualTime += 1 / max(it.Weight, minWeight)
		return true
	}
	return false
}

// minWeight avoids a division by zero for a team without a weight.
const minWeight = 0.01

func (q *Queue) teamsByVirtualTime() []string {
	var names []string
	for name, tq := range q.teams {
		if len(tq.items) > 0 {
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := q.teams[names[i]], q.teams[names[j]]
		if a.virtualTime != b.virtualTime {
			return a.virtualTime < b.virtualTime
		}
		return names[i] < names[j]
	})
	return names
}

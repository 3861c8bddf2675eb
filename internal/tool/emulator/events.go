package emulator

import (
	"container/heap"
	"time"
)

// at schedules an event; events of the same time run in the order in which they
// were scheduled.
func (s *simulation) at(when time.Time, do func()) {
	s.sequence++
	heap.Push(&s.events, event{at: when, sequence: s.sequence, do: do})
}

func (s *simulation) after(d time.Duration, do func()) { s.at(s.now.Add(d), do) }

// event is a function to run at a time.
type event struct {
	at       time.Time
	sequence int
	do       func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds an event.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop removes the last event of the slice and returns it.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

package node

import (
	"container/heap"
	"time"
)

type timerKind string

const (
	timerPhase     timerKind = "phase"
	timerDeadline  timerKind = "deadline"
	timerRetention timerKind = "retention"
	timerFollow    timerKind = "follow"
	timerClaim     timerKind = "claim"
)

// timer is a pending timeout. It applies to a record (identified by key and
// instance, or for its phase by key and number), a subscription (number) or a
// ledger operation (number). A timer has no effect if the record's instance or
// number has changed since.
type timer struct {
	at       time.Time
	order    uint64
	kind     timerKind
	key      string
	instance string
	number   uint64
}

// timers is a heap ordered by time, then by creation.
type timers struct {
	heap  timerHeap
	count uint64
}

func (t *timers) add(x timer) {
	t.count++
	x.order = t.count
	heap.Push(&t.heap, x)
}

// next returns the time of the earliest timer.
func (t *timers) next() (time.Time, bool) {
	if len(t.heap) == 0 {
		return time.Time{}, false
	}
	return t.heap[0].at, true
}

// due removes and returns the earliest timer if it is not after now.
func (t *timers) due(now time.Time) (timer, bool) {
	if len(t.heap) == 0 || t.heap[0].at.After(now) {
		return timer{}, false
	}
	return heap.Pop(&t.heap).(timer), true
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

func (h *timerHeap) Pop() any {
	old := *h
	last := len(old) - 1
	x := old[last]
	*h = old[:last]
	return x
}

package node

import (
	"sort"
	"strings"
	"time"

	"monsoonlanding/internal/core/platform"
	"monsoonlanding/internal/core/upstream"
)

func (w *world) storeAfter(do func()) {
	d := 2*time.Millisecond + w.delay()
	if w.store.slow {
		d += 300 * time.Millisecond
	}
	w.after(d, do)
}

func (w *world) read(e ReadObject) ObjectRead {
	if strings.HasPrefix(e.Path, "ledger/") {
		w.store.reads++
	}
	if w.store.down {
		return ObjectRead{Call: e.Call, Err: "down"}
	}
	return ObjectRead{Call: e.Call, Object: w.store.objects[e.Path]}
}

func (w *world) write(e WriteObject) ObjectWritten {
	out := ObjectWritten{Call: e.Call, Outcome: platform.WriteUnavailable}
	if strings.HasPrefix(e.Path, "ledger/") {
		w.store.writes++
	}
	if w.store.down {
		return out
	}
	if w.store.objects[e.Path].Revision != e.IfRevision {
		out.Outcome = platform.WriteConflict
		return out
	}
	w.store.next++
	w.store.objects[e.Path] = platform.Object{Revision: w.store.next, Value: e.Value}
	out.Outcome, out.Revision = platform.WriteOK, w.store.next
	if w.store.loseReplies && w.rng.IntN(2) == 0 {
		out.Outcome, out.Revision = platform.WriteUnknown, 0
	}
	return out
}

func (w *world) list() []upstream.Upstream {
	var list []upstream.Upstream
	for _, u := range w.upstreams {
		if !u.dead {
			e := u.entry
			e.Leaving, e.Until = !u.leaving.IsZero(), u.until
			list = append(list, e)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// kill ends a node without notice; connections to it break.
func (w *world) kill(n *worldNode) {
	if n.dead {
		return
	}
	n.dead = true
	for _, r := range n.active {
		r.cancelled = true
	}
	for _, c := range w.openConns(n) {
		c.open = false
		w.after(w.delay(), func() { c.caller.connectionBroken(c) })
	}
}

func (w *world) openConns(n *worldNode) []*fakeConn {
	var open []*fakeConn
	for id := uint64(1); id <= w.nextConn; id++ {
		if c := w.conns[id]; c != nil && c.open && c.owner == n {
			open = append(open, c)
		}
	}
	return open
}

func (w *world) pause(n *worldNode, d time.Duration) {
	if n.paused || n.dead {
		return
	}
	n.paused = true
	w.after(d, func() {
		n.paused = false
		waiting := n.waiting
		n.waiting = nil
		for _, e := range waiting {
			w.deliver(n, e)
		}
		w.deliver(n, Tick{})
	})
}

func (w *world) partition(a, b *worldNode, both bool, d time.Duration) {
	w.partitioned[[2]string{a.member.ID, b.member.ID}] = true
	if both {
		w.partitioned[[2]string{b.member.ID, a.member.ID}] = true
	}
	w.after(d, func() {
		delete(w.partitioned, [2]string{a.member.ID, b.member.ID})
		delete(w.partitioned, [2]string{b.member.ID, a.member.ID})
	})
}

// watch replies once the object has a later revision, or when until is reached.
func (w *world) watch(n *worldNode, e WatchObject, until time.Time) {
	o := w.store.objects[e.Path]
	switch {
	case w.store.down:
		w.deliver(n, ObjectChanged{Path: e.Path, Err: "down"})
	case o.Revision > e.After || w.now.After(until):
		w.deliver(n, ObjectChanged{Path: e.Path, Object: o})
	default:
		w.after(20*time.Millisecond, func() { w.watch(n, e, until) })
	}
}

package node

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/caller"
	"monsoonlanding/internal/core/platform"
	"monsoonlanding/internal/core/upstream"
)

// matrixStep is the phase of a request in which a fault is injected.
type matrixStep string

const (
	stepSecuring    matrixStep = "securing"
	stepClaiming    matrixStep = "claiming"
	stepQueued      matrixStep = "queued"
	stepDispatched  matrixStep = "dispatched"
	stepStreaming   matrixStep = "streaming"
	stepRetrying    matrixStep = "retrying"
	stepHandingOver matrixStep = "handing"
	stepDone        matrixStep = "done"
)

var matrixSteps = map[string][]matrixStep{
	"plans":    {stepSecuring, stepQueued, stepDispatched, stepStreaming, stepRetrying, stepHandingOver, stepDone},
	"bookings": {stepSecuring, stepClaiming, stepQueued, stepDispatched, stepHandingOver, stepDone},
}

// matrixCase is a request that has reached its step.
type matrixCase struct {
	w        *world
	caller   *fakeCaller
	holder   *worldNode
	backup   *worldNode
	upstream *fakeUpstream
}

// matrixFault is a fault and its permitted consequences.
type matrixFault struct {
	name string
	do   func(s *matrixCase)
	// killsNode: a node is lost without notice.
	killsNode bool
	// uncertain: a non-idempotent request may end with outcome unknown or be
	// refused.
	uncertain bool
}

// faultDuration is the duration of a temporary fault. It is longer than the
// time after which an unresponsive node counts as dead.
const faultDuration = 3 * time.Second

func onUpstream(set func(u *fakeUpstream, on bool)) func(*matrixCase) {
	return func(s *matrixCase) {
		set(s.upstream, true)
		s.w.after(faultDuration, func() { set(s.upstream, false) })
	}
}

var matrixFaults = []matrixFault{
	{name: "upstream crash", uncertain: true, do: func(s *matrixCase) { s.w.crash(s.upstream) }},
	{name: "upstream stall", uncertain: true, do: onUpstream(func(u *fakeUpstream, on bool) { u.stalled = on })},
	{name: "upstream error", uncertain: true, do: onUpstream(func(u *fakeUpstream, on bool) { u.failing = on })},
	{name: "upstream slow", do: onUpstream(func(u *fakeUpstream, on bool) { u.slow = on })},
	{name: "upstream late, duplicated and out of order", do: onUpstream(func(u *fakeUpstream, on bool) { u.reordering = on })},
	{name: "holder death", killsNode: true, uncertain: true, do: func(s *matrixCase) { s.w.kill(s.holder) }},
	{name: "backup death", killsNode: true, do: func(s *matrixCase) { s.w.kill(s.backup) }},
	{name: "holder pause", uncertain: true, do: func(s *matrixCase) { s.w.pause(s.holder, faultDuration) }},
	{name: "backup pause", uncertain: true, do: func(s *matrixCase) { s.w.pause(s.backup, faultDuration) }},
	{name: "partition holder to backup", uncertain: true, do: func(s *matrixCase) { s.w.partition(s.holder, s.backup, false, faultDuration) }},
	{name: "partition backup to holder", uncertain: true, do: func(s *matrixCase) { s.w.partition(s.backup, s.holder, false, faultDuration) }},
	{name: "partition both ways", uncertain: true, do: func(s *matrixCase) { s.w.partition(s.holder, s.backup, true, faultDuration) }},
	{name: "reclaim of holder", do: func(s *matrixCase) { s.w.notice(s.holder, 2*time.Second) }},
	{name: "reclaim of backup", do: func(s *matrixCase) { s.w.notice(s.backup, 2*time.Second) }},
	{name: "reclaim of upstream", do: func(s *matrixCase) { s.w.reclaimUpstream(s.upstream, 4*time.Second) }},
	{name: "reclaim of zone", do: func(s *matrixCase) { s.w.noticeZone(s.holder.member.Zone) }},
	{name: "store down", uncertain: true, do: func(s *matrixCase) {
		s.w.store.down = true
		s.w.after(faultDuration, func() { s.w.store.down = false })
	}},
	{name: "store slow", do: func(s *matrixCase) {
		s.w.store.slow = true
		s.w.after(faultDuration, func() { s.w.store.slow = false })
	}},
	{name: "store conflict", do: func(s *matrixCase) { s.w.disturbLedger() }},
	{name: "store loses replies", do: func(s *matrixCase) {
		s.w.store.loseReplies = true
		s.w.after(faultDuration, func() { s.w.store.loseReplies = false })
	}},
	{name: "caller disconnects", do: func(s *matrixCase) { s.caller.disconnectFor(2 * faultDuration) }},
	{name: "caller retries", do: func(s *matrixCase) { s.caller.disconnect() }},
}

// disturbLedger simulates another writer that updates all ledger objects for a
// while.
func (w *world) disturbLedger() {
	ledger := platform.New(platform.DefaultLimits())
	for round := range 20 {
		w.after(time.Duration(round)*3*time.Millisecond, func() {
			for shard := range uint64(platform.DefaultLimits().Shards) {
				path := ledger.ShardPath(shard)
				o := w.store.objects[path]
				w.store.next++
				w.store.objects[path] = platform.Object{Revision: w.store.next, Value: o.Value}
			}
		})
	}
}

// disconnectFor closes the connection and reconnects for the answer after d.
func (f *fakeCaller) disconnectFor(d time.Duration) {
	c := f.last()
	if c == nil || !c.open || f.final != nil {
		return
	}
	c.open = false
	f.w.deliver(c.owner, CallerDisconnected{Conn: c.id})
	f.w.after(d, func() {
		if f.final == nil {
			f.send()
		}
	})
}

// runToStep runs a request up to a step; ok reports whether the step was
// reached.
func runToStep(seed uint64, service string, step matrixStep) (s *matrixCase, ok bool) {
	w := newWorld(seed, 6, 4, Faults{})
	s = &matrixCase{w: w, holder: w.nodes[0]}
	if step == stepQueued || step == stepHandingOver {
		w.reportLoad(s.holder, 1000)
		w.after(500*time.Millisecond, func() { w.reportLoad(s.holder, 0) })
	}
	if step == stepRetrying {
		for _, u := range w.upstreams {
			u.failing = true
		}
	}
	s.caller = w.newCaller("m", []byte("matrix"), service == "bookings", 14*time.Second)
	s.caller.sendTo(s.holder)
	for range 4000 {
		w.run(100 * time.Microsecond)
		r := s.holder.node.records[s.caller.key]
		if r != nil && step == stepHandingOver && r.phase == phaseQueued {
			w.notice(s.holder, 2*time.Second)
		}
		if r != nil && atStep(r, step) {
			s.resolve(r, service)
			return s, true
		}
	}
	return s, false
}

func atStep(r *record, step matrixStep) bool {
	switch step {
	case stepDispatched:
		return r.phase == phaseRunning && r.answer.Count() == 0
	case stepStreaming:
		return r.phase == phaseRunning && r.answer.Count() >= 3
	}
	return string(r.phase) == string(step)
}

// resolve selects the backup and the upstream that the faults apply to.
func (s *matrixCase) resolve(r *record, service string) {
	s.backup = s.w.nodes[1]
	for _, b := range r.backups {
		if b.zone != s.holder.member.Zone {
			s.backup = s.w.resolve(b.id)
		}
	}
	s.upstream = s.w.upstreams[service+"-0"]
	if a := s.holder.node.attempts[r.attempt]; a != nil {
		s.upstream = s.w.upstreams[a.upstream.ID]
	}
	for _, u := range s.w.upstreams {
		u.failing = false
	}
}

// reportLoad delivers load reports of all upstreams to a node, each with the
// given number of running requests.
func (w *world) reportLoad(n *worldNode, running int) {
	for _, u := range w.list() {
		w.deliver(n, UpstreamLoad{Upstream: u.ID, Load: upstream.Load{At: w.now, Running: running}})
	}
}

// cellViolations returns the violations of one cell. If there was only one
// fault, or several of which none is uncertain, an accepted request must be
// answered. A non-idempotent request is exempt if the fault is uncertain.
func cellViolations(s *matrixCase, faults []matrixFault) []string {
	violations := s.w.oracle.finalViolations(s.w, modeAny)
	deaths, uncertain := 0, false
	for _, f := range faults {
		uncertain = uncertain || f.uncertain
		if f.killsNode {
			deaths++
		}
	}
	f := s.caller
	mustAnswer := f.accepted && deaths <= 1 && (!f.nonIdempotent || !uncertain)
	if len(faults) > 1 && uncertain {
		mustAnswer = false
	}
	if _, answered := f.final.(caller.Done); mustAnswer && !answered {
		violations = append(violations, fmt.Sprintf("accepted and not answered: %+v %s", f.final, s.w.describe(f)))
	}
	return violations
}

func TestFaultMatrix(t *testing.T) {
	cells := 0
	for service, steps := range matrixSteps {
		for _, step := range steps {
			for i, first := range matrixFaults {
				cells += len(matrixFaults) - i
				t.Run(fmt.Sprintf("%s/%s/%s", service, step, first.name), func(t *testing.T) {
					t.Parallel()
					matrixRow(t, service, step, i)
				})
			}
		}
	}
	t.Logf("%d cells", cells)
}

// runToEnd runs until the caller has its final answer, at most for d, and then
// until everything in transit has arrived.
func (w *world) runToEnd(f *fakeCaller, d time.Duration) {
	const deliveryTime = 4 * time.Second
	for end := w.now.Add(d); w.now.Before(end) && f.final == nil; {
		w.run(time.Second)
	}
	w.run(deliveryTime)
}

// matrixRow runs a fault alone and with each of those after it.
func matrixRow(t *testing.T, service string, step matrixStep, first int) {
	for second := first; second < len(matrixFaults); second++ {
		c := qt.New(t)
		faults := []matrixFault{matrixFaults[first]}
		if second != first {
			faults = append(faults, matrixFaults[second])
		}
		s, ok := runToStep(uint64(1+first*100+second), service, step)
		c.Assert(ok, qt.IsTrue, qt.Commentf("step %s was not reached, cell not tested", step))
		for _, f := range faults {
			f.do(s)
		}
		s.w.run(faultDuration + 200*time.Millisecond)
		s.w.clearFaults()
		s.w.runToEnd(s.caller, 18*time.Second)
		if violations := cellViolations(s, faults); len(violations) > 0 {
			t.Errorf("with %q: %s", faults[len(faults)-1].name, violations)
		}
	}
}

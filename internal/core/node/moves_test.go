package node

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/caller"
	"monsoonlanding/internal/core/operator"
	"monsoonlanding/internal/core/upstream"
)

// moveTest is a system that moves the traffic of a plain service from v1 to v2.
type moveTest struct {
	w             *world
	text          string
	sent          int
	sentToNew     int
	lastSentToNew time.Time
	// stoppedAt is the time at which the first node had stopped the new version.
	stoppedAt time.Time
	failed    int
	// bad reports whether dispatch number n to v2 fails, counted from 1.
	bad func(n int) bool
}

const (
	// moveRate is the number of requests per second.
	moveRate     = 20
	moveDuration = 30 * time.Minute
)

func newMoveTest(seed uint64, nodes int, onDeadline operator.OnDeadline, bad func(n int) bool) *moveTest {
	m := &moveTest{w: newWorld(seed, nodes, 4, Faults{}), bad: bad}
	for i := range 6 {
		u := &fakeUpstream{entry: upstream.Upstream{
			ID: fmt.Sprintf("tags-%d", i), Address: "x", Zone: fmt.Sprintf("zone-%d", i%3),
			Service: "tags", Version: fmt.Sprintf("v%d", 1+i/3), Kind: upstream.Plain, Slots: 50,
		}}
		m.w.upstreams[u.entry.ID] = u
	}
	m.text = worldRules + "service.tags = { kind = \"plain\", version = \"v1\" }  # test\n"
	m.w.failDispatch = m.outcome
	m.addMove(1, "v1", "v2", worldStart.Add(moveDuration), onDeadline)
	m.w.run(3 * time.Second)
	return m
}

// addMove adds a move to the rules of the given revision.
func (m *moveTest) addMove(base uint64, from, to string, by time.Time, on operator.OnDeadline) {
	m.text += fmt.Sprintf("move.tags-%s = { service = \"tags\", from = %q, to = %q, by = %s, on_deadline = %q }  # asked by a test\n",
		to, from, to, by.Format(time.RFC3339), on)
	m.w.deliver(m.w.nodes[0], ApplyRules{Base: base, Text: m.text, Edit: to})
}

// outcome decides whether a dispatch to the moved service fails.
func (m *moveTest) outcome(u *fakeUpstream) (fail bool) {
	if u.entry.Version != "v2" {
		return false
	}
	m.sentToNew++
	m.lastSentToNew = m.w.now
	fail = m.bad(m.sentToNew)
	if fail {
		m.failed++
	}
	return fail
}

// traffic sends requests at moveRate for d.
func (m *moveTest) traffic(d time.Duration) {
	for end := m.w.now.Add(d); m.w.now.Before(end); {
		living := m.w.living()
		n := living[m.sent%len(living)]
		m.sent++
		m.w.nextConn++
		key := fmt.Sprintf("crew/t%d", m.sent)
		m.w.deliver(n, CallerRequest{Conn: m.w.nextConn, Request: caller.Request{
			Key: key, Instance: key, Team: "crew", Service: "tags", Body: []byte(key), Deadline: m.w.now.Add(5 * time.Second),
		}})
		m.w.run(time.Second / moveRate)
		m.checkStopped()
	}
}

func (m *moveTest) checkStopped() {
	for _, n := range m.w.living() {
		if m.stoppedAt.IsZero() && n.node.move("tags-v2").stopReason != "" {
			m.stoppedAt = m.w.now
		}
	}
}

// maxStopTime is the target for the time from sufficient evidence at any node
// to the last new request for the bad version.
const maxStopTime = 2 * time.Second

func (m *moveTest) status(node int) MoveStatus { return m.w.nodes[node].node.Moves(m.w.now)[0] }

// verdicts returns the number of living nodes per verdict.
func (m *moveTest) verdicts() map[operator.Verdict]int {
	verdicts := make(map[operator.Verdict]int)
	for _, n := range m.w.living() {
		verdicts[n.node.Moves(m.w.now)[0].Verdict]++
	}
	return verdicts
}

func never(int) bool { return false }

func TestMoveOfGoodVersionIsDone(t *testing.T) {
	c := qt.New(t)
	m := newMoveTest(1, 4, operator.DeadlineRollback, never)
	m.traffic(moveDuration)
	c.Assert(m.verdicts(), qt.DeepEquals, map[operator.Verdict]int{operator.VerdictDone: 4}, qt.Commentf("%+v", m.status(0)))
	before := m.sentToNew
	m.traffic(10 * time.Second)
	c.Assert(m.sentToNew-before, qt.Equals, 10*moveRate)
}

func TestMoveOfBadVersionIsRolledBack(t *testing.T) {
	c := qt.New(t)
	m := newMoveTest(2, 4, operator.DeadlineFinish, func(int) bool { return true })
	m.traffic(10 * time.Minute)
	c.Assert(m.verdicts(), qt.DeepEquals, map[operator.Verdict]int{operator.VerdictRolledBack: 4})
	c.Assert(m.sentToNew < m.sent/100, qt.IsTrue, qt.Commentf("%d of %d", m.sentToNew, m.sent))
	c.Assert(m.lastSentToNew.Sub(m.stoppedAt) < maxStopTime, qt.IsTrue)
}

// TestMoveFailsLater makes the new version fail once it has most of the
// traffic.
func TestMoveFailsLater(t *testing.T) {
	c := qt.New(t)
	var broken time.Time
	var m *moveTest
	m = newMoveTest(3, 4, operator.DeadlineRollback, func(n int) bool {
		if n == 2000 {
			broken = m.w.now
		}
		return n >= 2000
	})
	m.traffic(moveDuration)
	c.Assert(m.verdicts(), qt.DeepEquals, map[operator.Verdict]int{operator.VerdictRolledBack: 4})
	c.Assert(m.stoppedAt.After(broken), qt.IsTrue)
	c.Assert(m.lastSentToNew.Sub(m.stoppedAt) < maxStopTime, qt.IsTrue, qt.Commentf("%s", m.lastSentToNew.Sub(m.stoppedAt)))
}

// TestVersionStopsWithoutPlatform makes the new version fail while the platform
// is down: all nodes stop sending to it, and the verdict follows later.
func TestVersionStopsWithoutPlatform(t *testing.T) {
	c := qt.New(t)
	var broken time.Time
	bad := false
	var m *moveTest
	m = newMoveTest(4, 4, operator.DeadlineRollback, func(int) bool {
		if bad && broken.IsZero() {
			broken = m.w.now
		}
		return bad
	})
	m.traffic(15 * time.Minute)
	c.Assert(m.status(0).Stage > 0, qt.IsTrue)
	m.w.store.down = true
	bad = true
	m.traffic(5 * time.Minute)
	c.Assert(m.stoppedAt.After(broken), qt.IsTrue)
	c.Assert(m.lastSentToNew.Sub(m.stoppedAt) < maxStopTime, qt.IsTrue, qt.Commentf("%s", m.lastSentToNew.Sub(m.stoppedAt)))
	c.Assert(m.verdicts(), qt.DeepEquals, map[operator.Verdict]int{operator.VerdictNone: 4})
	m.w.store.down = false
	m.traffic(10 * time.Second)
	c.Assert(m.verdicts(), qt.DeepEquals, map[operator.Verdict]int{operator.VerdictRolledBack: 4})
}

// TestMoveSurvivesItsDriver kills the driving node at every stage.
func TestMoveSurvivesItsDriver(t *testing.T) {
	c := qt.New(t)
	m := newMoveTest(5, 7, operator.DeadlineRollback, never)
	for range 4 {
		m.traffic(5 * time.Minute)
		if driver := m.w.resolve(m.status(len(m.w.nodes) - 1).Driver); driver != nil && len(m.w.living()) > 4 {
			m.w.kill(driver)
			m.w.addNode("zone-1")
		}
	}
	m.traffic(10 * time.Minute)
	c.Assert(m.verdicts(), qt.DeepEquals, map[operator.Verdict]int{operator.VerdictDone: len(m.w.living())}, qt.Commentf("%+v", m.status(len(m.w.nodes)-1)))
}

// TestMoveWithoutEvidenceFollowsItsRule lets a deadline pass without traffic.
func TestMoveWithoutEvidenceFollowsItsRule(t *testing.T) {
	for on, want := range map[operator.OnDeadline]operator.Verdict{
		operator.DeadlineFinish: operator.VerdictDone, operator.DeadlineRollback: operator.VerdictRolledBack,
	} {
		c := qt.New(t)
		m := newMoveTest(6, 3, on, never)
		m.w.run(moveDuration)
		c.Assert(m.verdicts(), qt.DeepEquals, map[operator.Verdict]int{want: 3})
		s := m.status(0)
		c.Assert(s.Comment, qt.Equals, "asked by a test")
		c.Assert(s.Summary, qt.Contains, "the deadline came first")
	}
}

// TestConsecutiveMoves moves a service to v2 and then to v3, and back to v2 if
// v3 turns out to be bad.
func TestConsecutiveMoves(t *testing.T) {
	for _, good := range []bool{true, false} {
		c := qt.New(t)
		m := newMoveTest(7, 4, operator.DeadlineRollback, never)
		for i := range 3 {
			u := &fakeUpstream{entry: upstream.Upstream{
				ID: fmt.Sprintf("tags-v3-%d", i), Address: "x", Zone: "zone-1", Service: "tags", Version: "v3", Kind: upstream.Plain, Slots: 50,
			}}
			m.w.upstreams[u.entry.ID] = u
		}
		seen := make(map[string]int)
		m.w.failDispatch = func(u *fakeUpstream) bool {
			seen[u.entry.Version]++
			return u.entry.Version == "v3" && !good
		}
		m.traffic(moveDuration)
		m.addMove(2, "v2", "v3", m.w.now.Add(moveDuration), operator.DeadlineRollback)
		m.traffic(moveDuration + time.Second)
		clear(seen)
		m.traffic(10 * time.Second)
		want := map[string]int{"v3": 10 * moveRate}
		if !good {
			want = map[string]int{"v2": 10 * moveRate}
		}
		c.Assert(seen, qt.DeepEquals, want)
	}
}

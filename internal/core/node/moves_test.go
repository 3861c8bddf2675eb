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
	w       *world
	text    string
	sent    int
	toNew   int
	lastNew time.Time
	// brakeAt is when the first node had enough evidence.
	brakeAt time.Time
	failed  int
	// bad tells whether a dispatch to v2 fails.
	bad func(n int) bool
}

const (
	moveRate = 20
	moveTime = 30 * time.Minute
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
	m.w.verdictOf = m.outcome
	m.ask(1, "v1", "v2", worldStart.Add(moveTime), onDeadline)
	m.w.run(3 * time.Second)
	return m
}

// ask adds a move to the rules of the given revision.
func (m *moveTest) ask(base uint64, from, to string, by time.Time, on operator.OnDeadline) {
	m.text += fmt.Sprintf("move.tags-%s = { service = \"tags\", from = %q, to = %q, by = %s, on_deadline = %q }  # asked by a test\n",
		to, from, to, by.Format(time.RFC3339), on)
	m.w.deliver(m.w.nodes[0], ApplyRules{Base: base, Text: m.text, Edit: to})
}

// outcome decides how a dispatch to the moved service ends.
func (m *moveTest) outcome(u *fakeUpstream) (fail bool) {
	if u.entry.Version != "v2" {
		return false
	}
	m.toNew++
	m.lastNew = m.w.now
	fail = m.bad(m.toNew)
	if fail {
		m.failed++
	}
	return fail
}

// traffic sends requests at the rate for d.
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
		m.watchBrake()
	}
}

func (m *moveTest) watchBrake() {
	for _, n := range m.w.living() {
		if m.brakeAt.IsZero() && n.node.move("tags-v2").haltReason != "" {
			m.brakeAt = m.w.now
		}
	}
}

// brakeTime is the target for the time from enough evidence anywhere to the
// last new request for the bad version.
const brakeTime = 2 * time.Second

func (m *moveTest) status(node int) MoveStatus { return m.w.nodes[node].node.Moves(m.w.now)[0] }

// verdicts returns the verdict that each living node has.
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
	m.traffic(moveTime)
	c.Assert(m.verdicts(), qt.DeepEquals, map[operator.Verdict]int{operator.VerdictDone: 4}, qt.Commentf("%+v", m.status(0)))
	before := m.toNew
	m.traffic(10 * time.Second)
	c.Assert(m.toNew-before, qt.Equals, 10*moveRate)
}

func TestMoveOfBadVersionIsRolledBack(t *testing.T) {
	c := qt.New(t)
	m := newMoveTest(2, 4, operator.DeadlineFinish, func(int) bool { return true })
	m.traffic(10 * time.Minute)
	c.Assert(m.verdicts(), qt.DeepEquals, map[operator.Verdict]int{operator.VerdictRolledBack: 4})
	c.Assert(m.toNew < m.sent/100, qt.IsTrue, qt.Commentf("%d of %d", m.toNew, m.sent))
	c.Assert(m.lastNew.Sub(m.brakeAt) < brakeTime, qt.IsTrue)
}

// TestMoveFailsLater breaks the new version once it has most of the traffic.
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
	m.traffic(moveTime)
	c.Assert(m.verdicts(), qt.DeepEquals, map[operator.Verdict]int{operator.VerdictRolledBack: 4})
	c.Assert(m.brakeAt.After(broken), qt.IsTrue)
	c.Assert(m.lastNew.Sub(m.brakeAt) < brakeTime, qt.IsTrue, qt.Commentf("%s", m.lastNew.Sub(m.brakeAt)))
}

// TestBrakeWorksWithoutPlatform breaks the new version while the platform is
// down: all nodes stop sending to it, and the verdict follows later.
func TestBrakeWorksWithoutPlatform(t *testing.T) {
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
	c.Assert(m.brakeAt.After(broken), qt.IsTrue)
	c.Assert(m.lastNew.Sub(m.brakeAt) < brakeTime, qt.IsTrue, qt.Commentf("%s", m.lastNew.Sub(m.brakeAt)))
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
		if driver := m.w.find(m.status(len(m.w.nodes) - 1).Driver); driver != nil && len(m.w.living()) > 4 {
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
		m.w.run(moveTime)
		c.Assert(m.verdicts(), qt.DeepEquals, map[operator.Verdict]int{want: 3})
		s := m.status(0)
		c.Assert(s.Comment, qt.Equals, "asked by a test")
		c.Assert(s.Sentence, qt.Contains, "the deadline came first")
	}
}

// TestMovesOneAfterAnother moves a service to v2 and then to v3, and back to
// v2 when v3 turns out to be bad.
func TestMovesOneAfterAnother(t *testing.T) {
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
		m.w.verdictOf = func(u *fakeUpstream) bool {
			seen[u.entry.Version]++
			return u.entry.Version == "v3" && !good
		}
		m.traffic(moveTime)
		m.ask(2, "v2", "v3", m.w.now.Add(moveTime), operator.DeadlineRollback)
		m.traffic(moveTime + time.Second)
		clear(seen)
		m.traffic(10 * time.Second)
		want := map[string]int{"v3": 10 * moveRate}
		if !good {
			want = map[string]int{"v2": 10 * moveRate}
		}
		c.Assert(seen, qt.DeepEquals, want)
	}
}

package quarantine

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

const (
	settle = time.Second
	// part1 and part2 are the traits of the parts "p1" and "p2".
	part1 Trait = "part/p1"
	part2 Trait = "part/p2"
)

// play feeds a register on virtual time.
type play struct {
	*qt.C
	r   *Register
	now time.Time
	n   uint64
}

func newPlay(t *testing.T) *play { return &play{C: qt.New(t), r: New(), now: epoch} }

// request returns the traits of a request that has the parts and a content that no
// other request has.
func (p *play) request(parts ...string) []Trait {
	p.n++
	return Traits(parts, p.n)
}

// crash lets an upstream crash with the attempts given by their signs.
func (p *play) crash(attempts map[Sign][]Trait) {
	p.n++
	id := p.n
	for sign, traits := range attempts {
		p.r.RecordCrash(p.now, id, traits, sign)
	}
	p.now = p.now.Add(settle)
}

func (p *play) judge() map[Trait]int {
	p.r.Judge(p.now, settle)
	return p.r.Quarantined()
}

func (p *play) admit(traits []Trait) Admission {
	return p.r.Admit(p.now, traits, func(Trait) bool { return true })
}

// TestPartOfThreeCrashes: a part is quarantined after its third crash, for requests
// of any content, and the part before it, which sound requests share, is not.
func TestPartOfThreeCrashes(t *testing.T) {
	p := newPlay(t)
	for range 2 {
		p.crash(map[Sign][]Trait{SignHead: p.request("p1", "p2")})
	}
	p.Assert(p.judge(), qt.HasLen, 0)
	p.crash(map[Sign][]Trait{SignHead: p.request("p1", "p2")})
	p.Assert(p.judge(), qt.DeepEquals, map[Trait]int{part2: 3})
	p.Assert(p.admit(p.request("p1", "p2")), qt.Equals, Refused)
	p.Assert(p.admit(p.request("p2")), qt.Equals, Refused)
	p.Assert(p.admit(p.request("p1", "p3")), qt.Equals, Admitted)
}

// TestPartWithVariousSuccessors: a first part that crashes upstreams with whatever
// follows it is quarantined, the parts after it are not.
func TestPartWithVariousSuccessors(t *testing.T) {
	p := newPlay(t)
	for i := range 3 {
		p.crash(map[Sign][]Trait{SignHead: p.request("p1", fmt.Sprint("next", i))})
	}
	p.Assert(p.judge(), qt.DeepEquals, map[Trait]int{part1: 3})
}

// TestPartWithOneSuccessorAtFirst: after a later part has been blamed, crashes that
// it does not explain show that the part before it is the cause.
func TestPartWithOneSuccessorAtFirst(t *testing.T) {
	p := newPlay(t)
	for range 3 {
		p.crash(map[Sign][]Trait{SignHead: p.request("p1", "p2")})
	}
	p.Assert(p.judge(), qt.DeepEquals, map[Trait]int{part2: 3})
	p.crash(map[Sign][]Trait{SignHead: p.request("p1", "other")})
	p.Assert(p.judge(), qt.DeepEquals, map[Trait]int{part1: 4})
}

// TestNeighboursAreNotBlamed: attempts that broke beside one whose answer had begun
// without an event are not evidence, however often.
func TestNeighboursAreNotBlamed(t *testing.T) {
	p := newPlay(t)
	neighbour := p.request("n1")
	for i := range 6 {
		p.crash(map[Sign][]Trait{
			SignHead:    p.request("p1"),
			SignNothing: neighbour,
			SignEvent:   p.request("n2", fmt.Sprint("n", i)),
		})
	}
	p.Assert(p.judge(), qt.DeepEquals, map[Trait]int{part1: 6})
}

// TestNeighboursWithoutSigns: where no attempt at a crash stands out, a part is
// blamed for the crashes that another part does not explain.
func TestNeighboursWithoutSigns(t *testing.T) {
	p := newPlay(t)
	for id := range uint64(5) {
		p.r.RecordCrash(p.now, id, p.request("p1"), SignNothing)
		p.r.RecordCrash(p.now, id, p.request(fmt.Sprint("n", id%2)), SignNothing)
		p.now = p.now.Add(settle)
	}
	p.Assert(p.judge(), qt.DeepEquals, map[Trait]int{part1: 5})
}

// TestSoundRunsOutweighCrashes: a part that many requests have is at many crashes
// and is sound all the same.
func TestSoundRunsOutweighCrashes(t *testing.T) {
	p := newPlay(t)
	for range 20 {
		for range 4 {
			p.r.RecordSound(p.now, p.request("p1"), false)
		}
		p.crash(map[Sign][]Trait{SignNothing: p.request("p1")})
	}
	p.Assert(p.judge(), qt.HasLen, 0)
}

// TestUpstreamsLostTogether: several upstreams are lost at once while they run
// requests with a popular part. Its sound runs before count.
func TestUpstreamsLostTogether(t *testing.T) {
	p := newPlay(t)
	for range 10 {
		p.r.RecordSound(p.now, p.request("p1"), false)
	}
	for id := range uint64(4) {
		p.r.RecordCrash(p.now, id, p.request("p1"), SignNothing)
	}
	p.now = p.now.Add(settle)
	p.Assert(p.judge(), qt.HasLen, 0)
}

// TestPartThatWasSound: sound runs before the first crash protect a part for a few
// crashes only.
func TestPartThatWasSound(t *testing.T) {
	p := newPlay(t)
	for range 1000 {
		p.r.RecordSound(p.now, p.request("p1"), false)
	}
	for range 6 {
		p.crash(map[Sign][]Trait{SignHead: p.request("p1")})
	}
	p.Assert(p.judge(), qt.DeepEquals, map[Trait]int{part1: 6})
}

// TestUpstreamThatAnswersHasNotCrashed: connections that break at upstreams that
// go on answering are no evidence.
func TestUpstreamThatAnswersHasNotCrashed(t *testing.T) {
	p := newPlay(t)
	for id := range uint64(5) {
		p.r.RecordCrash(p.now, id, p.request("p1"), SignNothing)
		p.r.RecordLife(p.now.Add(LifeMargin+time.Millisecond), id)
		p.now = p.now.Add(settle)
	}
	p.Assert(p.judge(), qt.HasLen, 0)
	// An answer that was on its way, or that comes from the next process, does not
	// refute a crash.
	for id := range uint64(3) {
		p.r.RecordCrash(p.now, 10+id, p.request("p2"), SignNothing)
		p.r.RecordLife(p.now.Add(time.Millisecond), 10+id)
		p.r.RecordLife(p.now.Add(refuteWindow), 10+id)
	}
	p.now = p.now.Add(settle)
	p.Assert(p.judge(), qt.DeepEquals, map[Trait]int{part2: 3})
}

// TestAnswerAtAnotherNodeRefutesCrash: a process that answers another node has not
// crashed, also if that node knows nothing of the trait.
func TestAnswerAtAnotherNodeRefutesCrash(t *testing.T) {
	p := newPlay(t)
	other := New()
	for id := range uint64(3) {
		p.r.RecordCrash(p.now, id, p.request("p1"), SignNothing)
		other.Merge(p.now, "a", Report{Broken: p.r.Report(p.now).Broken})
		answered := p.now.Add(LifeMargin + 100*time.Millisecond)
		other.RecordLife(answered, id)
		p.now = p.now.Add(settle)
		p.r.Merge(p.now, "other", other.Report(p.now))
	}
	p.Assert(p.judge(), qt.HasLen, 0)
	p.Assert(other.Report(p.now.Add(refuteWindow)).Alive, qt.HasLen, 0)
}

// TestCrashAfterRefutedBreak: a process whose connections broke before, and that
// answered afterwards, crashes all the same.
func TestCrashAfterRefutedBreak(t *testing.T) {
	p := newPlay(t)
	for id := range uint64(3) {
		for range 3 {
			p.r.RecordCrash(p.now, id, p.request("p1"), SignNothing)
			p.r.RecordLife(p.now.Add(LifeMargin+time.Millisecond), id)
			p.now = p.now.Add(sameCrash + time.Millisecond)
		}
		p.r.RecordCrash(p.now, id, p.request("p2"), SignNothing)
		p.now = p.now.Add(settle)
	}
	p.Assert(p.judge(), qt.DeepEquals, map[Trait]int{part2: 3})
	for id := range uint64(3) {
		p.r.RecordCrash(p.now, id, p.request("p1"), SignNothing)
		p.now = p.now.Add(settle)
	}
	p.Assert(p.judge()[part1], qt.Equals, 3)
}

// TestOneProcessCrashesOnce: all attempts that break at a process are one crash.
func TestOneProcessCrashesOnce(t *testing.T) {
	p := newPlay(t)
	id := ProcessID("u", epoch)
	for range 5 {
		p.r.RecordCrash(p.now, id, p.request("p1"), SignHead)
	}
	p.now = p.now.Add(settle)
	p.Assert(p.judge(), qt.HasLen, 0)
	p.Assert(ProcessID("u", epoch.Add(time.Second)), qt.Not(qt.Equals), id)
}

// TestRepeatedContent: a request that comes again is quarantined at its second
// crash by its content; its parts are not.
func TestRepeatedContent(t *testing.T) {
	p := newPlay(t)
	request := p.request("p1", "p2")
	for range 4 {
		p.crash(map[Sign][]Trait{SignHead: request})
	}
	p.Assert(p.judge(), qt.DeepEquals, map[Trait]int{request[2]: 4})
	p.Assert(p.admit(p.request("p1", "p2")), qt.Equals, Admitted)
}

// TestEvidenceExpires: crashes far apart don't add up.
func TestEvidenceExpires(t *testing.T) {
	p := newPlay(t)
	for range 5 {
		p.crash(map[Sign][]Trait{SignHead: p.request("p1")})
		p.now = p.now.Add(crashRetention / 2)
		p.r.Prune(p.now)
		p.Assert(p.judge(), qt.HasLen, 0)
	}
	p.now = p.now.Add(crashRetention)
	p.r.Prune(p.now)
	p.Assert(p.r.entries, qt.HasLen, 0)
	p.Assert(p.r.crashes, qt.HasLen, 0)
}

// TestProbe: a quarantined part is tried by one request at a time, after longer and
// longer times, and released by one that is sound.
func TestProbe(t *testing.T) {
	p := newPlay(t)
	for range 3 {
		p.crash(map[Sign][]Trait{SignHead: p.request("p1")})
	}
	p.judge()
	p.now = p.now.Add(minProbeInterval - 2*settle)
	p.r.Prune(p.now)
	p.judge()
	p.Assert(p.admit(p.request("p1")), qt.Equals, Refused)
	p.now = p.now.Add(2 * settle)
	p.Assert(p.r.Admit(p.now, p.request("p1"), func(Trait) bool { return false }), qt.Equals, Refused)
	p.Assert(p.admit(p.request("p1")), qt.Equals, AdmittedAsProbe)
	p.Assert(p.admit(p.request("p1")), qt.Equals, Refused)
	// The probe crashes an upstream: the next one follows after twice the time.
	p.crash(map[Sign][]Trait{SignHead: p.request("p1")})
	p.now = p.now.Add(minProbeInterval)
	p.r.Prune(p.now)
	p.judge()
	p.Assert(p.admit(p.request("p1")), qt.Equals, Refused)
	p.now = p.now.Add(minProbeInterval)
	p.Assert(p.admit(p.request("p1")), qt.Equals, AdmittedAsProbe)
	p.r.RecordSound(p.now, p.request("p1"), true)
	p.Assert(p.judge(), qt.HasLen, 0)
	p.Assert(p.admit(p.request("p1")), qt.Equals, Admitted)
}

// TestQuarantineNobodyAsksFor ends without a probe.
func TestQuarantineNobodyAsksFor(t *testing.T) {
	p := newPlay(t)
	for range 3 {
		p.crash(map[Sign][]Trait{SignHead: p.request("p1")})
	}
	p.judge()
	p.now = p.now.Add(holdRetention)
	p.r.Prune(p.now)
	p.Assert(p.judge(), qt.HasLen, 0)
	p.Assert(p.r.entries, qt.HasLen, 0)
}

// TestSuspectIsReportedAmidResets: popular parts whose connections have broken many
// times, and whose crashes are refuted or outweighed, don't keep a rare suspect out of
// the reports.
func TestSuspectIsReportedAmidResets(t *testing.T) {
	p := newPlay(t)
	for i := range 3 * maxReported {
		part := fmt.Sprint("popular", i)
		for id := range uint64(5) {
			p.r.RecordCrash(p.now, 1000+id, p.request(part), SignNothing)
			p.r.RecordSound(p.now, p.request(part), false)
			p.r.RecordSound(p.now, p.request(part), false)
		}
	}
	p.r.RecordCrash(p.now, 1, p.request("p1"), SignHead)
	p.r.RecordCrash(p.now, 2, p.request("refuted"), SignHead)
	p.r.RecordLife(p.now.Add(LifeMargin+time.Millisecond), 2)
	var reported []Trait
	for _, e := range p.r.Report(p.now).Evidence {
		reported = append(reported, e.Trait)
	}
	p.Assert(reported[0], qt.Equals, part1)
	p.Assert(reported, qt.Not(qt.Contains), Trait("part/refuted"))
}

// TestLongPartIsShortened: a caller's long part ID does not fill the reports.
func TestLongPartIsShortened(t *testing.T) {
	c := qt.New(t)
	long := fmt.Sprintf("%0200d", 1)
	trait := Traits([]string{long}, 1)[0]
	c.Assert(len(trait) <= len(partPrefix)+maxPartBytes, qt.IsTrue)
	c.Assert(trait, qt.Not(qt.Equals), Traits([]string{long + "1"}, 1)[0])
}

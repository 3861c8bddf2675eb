package gateway

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/placement"
	"monsoonlanding/internal/core/quarantine"
)

// prompt returns a prompt with shared parts and one of its own.
func prompt(own uint64, shared ...string) placement.Prompt {
	p := placement.Prompt{InputTokens: 100, MaxOutputTokens: 100}
	for _, id := range append(shared, fmt.Sprint("own-", own)) {
		p.Parts = append(p.Parts, placement.Part{ID: id, Tokens: 10})
	}
	return p
}

// send submits a request with shared parts to a path.
func (b *bench) send(path string, shared ...string) (uint64, []Effect) {
	return b.submit(Request{Path: path, Key: "k", Prompt: prompt(b.conn+1, shared...)})
}

// crashReport is a peer's report that a part was in crashes of upstreams, at a time
// so long ago that they count.
func crashReport(part string, ids ...uint64) quarantine.Report {
	e := quarantine.Evidence{Trait: quarantine.Traits([]string{part}, 0)[0]}
	for _, id := range ids {
		e.Crashes = append(e.Crashes, quarantine.Crash{ID: id, Age: 1500 * time.Millisecond, Head: true})
	}
	return quarantine.Report{Evidence: []quarantine.Evidence{e}}
}

func (b *bench) receiveReport(node string, r quarantine.Report) {
	s := status(node)
	s.Quarantine = r
	b.receive(s)
}

// evidence returns what the node reports on a part.
func (b *bench) evidence(part string) quarantine.Evidence {
	trait := quarantine.Traits([]string{part}, 0)[0]
	for _, e := range b.g.quarantine.Report(b.now).Evidence {
		if e.Trait == trait {
			return e
		}
	}
	return quarantine.Evidence{}
}

// isAlive reports whether the node reports an answer of a process that a peer
// suspects.
func (b *bench) isAlive(process uint64) bool {
	b.receiveReport("b", quarantine.Report{Broken: []uint64{process}})
	return len(b.g.quarantine.Report(b.now).Alive) > 0
}

// TestEvidenceOfEnds: what the end of an attempt says about the request's traits
// and about the upstream's process. An aborted attempt cleared the crashes of its
// content before.
func TestEvidenceOfEnds(t *testing.T) {
	type evidence struct {
		crashes, sound int
		head, alive    bool
	}
	against, none := evidence{crashes: 1}, evidence{}
	began := func(b *bench, d Dispatch) { b.reduce(Began{Conn: d.Conn, Attempt: d.Attempt}) }
	beganEarlier := func(b *bench, d Dispatch) {
		began(b, d)
		b.now = b.now.Add(soundAge)
	}
	paced := func(b *bench, d Dispatch) {
		began(b, d)
		b.reduce(Paced{Conn: d.Conn, Attempt: d.Attempt, Interval: time.Millisecond})
	}
	end := func(result Result, framing Framing) func(*bench, Dispatch) {
		return func(b *bench, d Dispatch) {
			b.reduce(Ended{Conn: d.Conn, Attempt: d.Attempt, Result: result, Framing: framing, CallerFraming: framing})
		}
	}
	for _, row := range []struct {
		name   string
		events []func(*bench, Dispatch)
		want   evidence
	}{
		{"complete", []func(*bench, Dispatch){began, end(ResultComplete, FramingChunks)}, evidence{sound: 1, alive: true}},
		{"errored", []func(*bench, Dispatch){end(ResultErrored, FramingLength)}, evidence{sound: 1, alive: true}},
		{"closed", []func(*bench, Dispatch){end(ResultClosed, FramingClose)}, none},
		{"closed, paced", []func(*bench, Dispatch){paced, end(ResultClosed, FramingClose)}, evidence{sound: 1, alive: true}},
		{"broken, no head", []func(*bench, Dispatch){end(ResultBroken, "")}, against},
		{"broken, head", []func(*bench, Dispatch){end(ResultBroken, FramingChunks)}, evidence{crashes: 1, head: true}},
		{"broken, just begun", []func(*bench, Dispatch){began, end(ResultBroken, FramingChunks)}, evidence{crashes: 1, alive: true}},
		{"broken, begun earlier", []func(*bench, Dispatch){beganEarlier, end(ResultBroken, FramingChunks)}, evidence{sound: 1, alive: true}},
		{"broken, paced", []func(*bench, Dispatch){paced, end(ResultBroken, FramingChunks)}, evidence{sound: 1, alive: true}},
		{"garbled", []func(*bench, Dispatch){end(ResultMalformed, FramingLength)}, none},
		{"full", []func(*bench, Dispatch){end(ResultFull, FramingLength)}, evidence{alive: true}},
		{"refused", []func(*bench, Dispatch){end(ResultRefused, FramingLength)}, evidence{alive: true}},
		{"misdirected", []func(*bench, Dispatch){end(ResultMisdirected, FramingLength)}, none},
		{"unreachable", []func(*bench, Dispatch){end(ResultUnreachable, "")}, none},
		{"aborted", []func(*bench, Dispatch){end(ResultAborted, FramingChunks)}, none},
		{"caller left", []func(*bench, Dispatch){func(b *bench, d Dispatch) {
			b.reduce(HandlerEnded{Conn: d.Conn, Disconnected: true})
		}}, none},
		{"deadline passed", []func(*bench, Dispatch){func(b *bench, d Dispatch) {
			b.reduce(Expired{Conn: d.Conn})
		}}, none},
	} {
		t.Run(row.name, func(t *testing.T) {
			b := newBench(t, "a")
			b.ready(up("m1", "model"))
			// Evidence on soundness is reported for parts that are suspected.
			b.receiveReport("b", crashReport("p", 9))
			_, effects := b.send("/plan/1", "p")
			d := b.dispatch(effects)
			for _, event := range row.events {
				event(b, d)
			}
			e := b.evidence("p")
			got := evidence{crashes: len(e.Crashes) - 1, sound: e.Since, alive: b.isAlive(processID(d.Upstream))}
			id := processID(d.Upstream)
			for _, c := range e.Crashes {
				got.head = got.head || c.ID == id && c.Head
			}
			b.Assert(got, qt.Equals, row.want)
		})
	}
}

// TestEvidenceOnTraits: what is blamed for three crashes of requests of one team and
// route: a part that is their own, never; a shared part, wherever it stands; nothing
// that sound requests share.
func TestEvidenceOnTraits(t *testing.T) {
	for _, row := range []struct {
		name string
		// crashing holds the shared parts of the requests that crash engines, sound
		// those of sound ones before.
		crashing, sound [][]string
		refused         []string
		admitted        [][]string
	}{
		{"last shared part", [][]string{{"a", "x"}}, [][]string{{"a", "b"}}, []string{"a", "x"}, [][]string{{"a", "b"}, {"a", "new"}, {}}},
		{"first part", [][]string{{"x", "b"}, {"x", "c"}}, [][]string{{"a", "b"}}, []string{"x", "new"}, [][]string{{"a", "b"}, {"a", "c"}, {}}},
		{"in several places", [][]string{{"x", "b"}, {"a", "x"}}, nil, []string{"c", "x"}, [][]string{{"a", "b"}, {}}},
		{"part that is their own", [][]string{{}}, nil, nil, [][]string{{}, {"a"}}},
	} {
		t.Run(row.name, func(t *testing.T) {
			b := newBench(t, "a")
			var list []placement.Upstream
			for i := range 4 {
				list = append(list, up(fmt.Sprint("m", i), "model"))
			}
			b.ready(list...)
			for _, shared := range row.sound {
				_, effects := b.send("/plan/1", shared...)
				d := b.dispatch(effects)
				b.reduce(Ended{Conn: d.Conn, Attempt: d.Attempt, Result: ResultComplete})
			}
			for i := range 3 {
				_, effects := b.send("/plan/1", row.crashing[i%len(row.crashing)]...)
				d := b.dispatch(effects)
				b.reduce(Ended{Conn: d.Conn, Attempt: d.Attempt, Result: ResultBroken, Framing: FramingChunks})
				list = remove(list, d.Upstream.ID)
				b.list(list...)
				b.wait(200 * time.Millisecond)
			}
			b.wait(2 * time.Second)
			if row.refused != nil {
				_, effects := b.send("/plan/1", row.refused...)
				b.Assert(refusal(effects), qt.Equals, ReasonSuspect)
			}
			for _, shared := range row.admitted {
				_, effects := b.send("/plan/1", shared...)
				b.Assert(has(Dispatch{}, effects), qt.IsTrue, qt.Commentf("%v", shared))
			}
		})
	}
}

func remove(list []placement.Upstream, id string) []placement.Upstream {
	var rest []placement.Upstream
	for _, u := range list {
		if u.ID != id {
			rest = append(rest, u)
		}
	}
	return rest
}

// TestQuarantineCoversAllSends: a trait that is quarantined while requests with it
// wait or run keeps them from upstreams, and stays so when the node that reported
// it is gone.
func TestQuarantineCoversAllSends(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("m1", "model"))
	b.g.table.Teams()[0].Rate = 0
	running, effects := b.send("/ask/1", "p")
	d := b.dispatch(effects)
	// A request too large for the engine beside the first one waits.
	large := prompt(50, "p")
	large.InputTokens = 690_000
	waiting, effects := b.submit(Request{Path: "/plan/1", Key: "k", Prompt: large})
	b.Assert(has(Dispatch{}, effects), qt.IsFalse)
	s := status("b")
	s.Quarantine = crashReport("p", 1, 2, 3)
	effects = b.receive(s)
	b.Assert(refusal(effects), qt.Equals, ReasonSuspect)
	b.Assert(b.g.requests[waiting], qt.IsNil)
	effects = b.reduce(Ended{Conn: running, Attempt: d.Attempt, Result: ResultBroken})
	b.Assert(has(Dispatch{}, effects), qt.IsFalse)
	b.Assert(refusal(effects), qt.Equals, ReasonFailed)

	b.wait(10 * time.Second)
	b.reduce(NodesListed{Nodes: []NodeEntry{{Node: "a"}}})
	b.Assert(b.g.members, qt.HasLen, 0)
	_, effects = b.send("/plan/1", "p")
	b.Assert(refusal(effects), qt.Equals, ReasonSuspect)
	// A node that starts now learns of it from this one.
	b.Assert(b.g.status().Quarantine.Evidence[0].Quarantined, qt.IsTrue)
}

// TestOneNodeProbes: of all nodes in contact, one lets a request with a quarantined
// part through when that is due; without contact to most nodes, none does.
func TestOneNodeProbes(t *testing.T) {
	c := qt.New(t)
	names := []string{"a", "b", "c", "d"}
	probes := 0
	for _, name := range names {
		b := newBench(t, name)
		b.ready(up("m1", "model"))
		b.receiveReport("other", crashReport("p", 1, 2, 3))
		b.Assert(b.g.quarantine.Quarantined(), qt.HasLen, 1)
		for range 600 {
			b.now = b.now.Add(TickInterval)
			for _, peer := range names {
				if peer != name {
					b.receive(status(peer))
				}
			}
			b.reduce(Tick{})
		}
		for range 3 {
			_, effects := b.send("/plan/1", "p")
			if has(Dispatch{}, effects) {
				probes++
			}
		}
		// Without contact.
		b.wait(30 * time.Second)
		_, effects := b.send("/plan/1", "p")
		b.Check(refusal(effects), qt.Equals, ReasonSuspect)
	}
	c.Assert(probes, qt.Equals, 1)
}

// TestProbeThatCrashesIsNotRetried: a request that is let through to try a
// quarantined part is sent to one upstream only.
func TestProbeThatCrashesIsNotRetried(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("m1", "model"), up("m2", "model"))
	b.receiveReport("a2", crashReport("p", 1, 2, 3))
	b.reduce(NodesListed{Nodes: []NodeEntry{{Node: "a"}}})
	b.wait(2 * time.Minute)
	b.reduce(NodesListed{Nodes: []NodeEntry{{Node: "a"}}})
	conn, effects := b.send("/ask/1", "p")
	d := b.dispatch(effects)
	effects = b.reduce(Ended{Conn: conn, Attempt: d.Attempt, Result: ResultBroken, Framing: FramingChunks})
	b.Assert(has(Dispatch{}, effects), qt.IsFalse)
	b.Assert(refusal(effects), qt.Equals, ReasonFailed)
}

package node

import (
	"time"

	"monsoonlanding/internal/core/upstream"
)

// dispatch sends a request to a fake upstream.
func (w *world) dispatch(n *worldNode, d Dispatch) {
	u := w.upstreams[d.Upstream.ID]
	run := &fakeRun{attempt: d.Attempt, owner: n, upstream: u, key: d.Request.Key}
	n.active[d.Attempt] = run
	w.after(w.delay(), func() { w.arrive(n, u, run, d) })
}

func (w *world) arrive(n *worldNode, u *fakeUpstream, run *fakeRun, d Dispatch) {
	switch {
	case run.cancelled:
		return
	case u.dead:
		w.fail(run, CauseConnect)
		return
	case u.active() >= u.entry.Slots:
		w.fail(run, CauseBusy)
		return
	case !u.leaving.IsZero() && !w.acceptWhileLeaving && w.rng.IntN(2) == 0:
		w.fail(run, CauseLeaving)
		return
	}
	w.oracle.ran(w.now, u, d)
	u.runs = append(u.runs, run)
	switch {
	case u.poisoned != "" && string(d.Request.Body) == u.poisoned:
		w.crash(u)
	case u.crashing:
		w.crash(u)
	case u.failing, w.failDispatch != nil && w.failDispatch(u):
		w.fail(run, CauseError)
	case u.stalled:
		w.after(d.ProgressTimeout, func() { w.fail(run, CauseStalled) })
	case d.Upstream.Kind == upstream.Plain:
		w.after(5*time.Millisecond, func() {
			w.report(run, UpstreamDone{Attempt: d.Attempt, Result: fakeResult(d.Request.Body)})
		})
	default:
		w.stream(run, d)
	}
}

// active returns the number of requests that the upstream runs.
func (u *fakeUpstream) active() int {
	active := 0
	for _, r := range u.runs {
		if !r.cancelled && !r.ended {
			active++
		}
	}
	return active
}

func (w *world) fail(run *fakeRun, cause Cause) {
	w.report(run, UpstreamFailed{Attempt: run.attempt, Cause: cause, Detail: "injected"})
}

func (w *world) report(run *fakeRun, e Event) {
	switch e.(type) {
	case UpstreamDone, UpstreamFailed:
		run.ended = true
	}
	if run.cancelled && w.rng.IntN(4) != 0 {
		return
	}
	w.deliver(run.owner, e)
}

// stream sends the answer's tokens one by one. A reordering upstream repeats
// all tokens and delays some.
func (w *world) stream(run *fakeRun, d Dispatch) {
	answer := fakeAnswer(d.Request.Body)
	at := 10 * time.Millisecond
	for i := len(d.Tokens); i < len(answer); i++ {
		at += 5 * time.Millisecond
		if run.upstream.slow {
			at += 20 * time.Millisecond
		}
		wait := at
		if run.upstream.reordering && w.rng.IntN(10) == 0 {
			wait += 12 * time.Millisecond
		}
		w.after(wait, func() { w.token(run, d, i, answer) })
		if run.upstream.reordering {
			w.after(wait+3*time.Millisecond, func() { w.token(run, d, i, answer) })
		}
	}
	w.after(at+time.Millisecond, func() {
		if !run.upstream.dead && !run.upstream.stalled && !run.silent {
			w.report(run, UpstreamDone{Attempt: d.Attempt, Count: len(answer)})
		}
	})
}

// token delivers a token. A stalled stream sends nothing more until its
// timeout.
func (w *world) token(run *fakeRun, d Dispatch, i int, answer []string) {
	u := run.upstream
	if u.stalled && !run.silent {
		run.silent = true
		w.after(d.ProgressTimeout, func() { w.fail(run, CauseStalled) })
	}
	if u.dead || run.silent {
		return
	}
	w.report(run, UpstreamTokens{Attempt: d.Attempt, Offset: i, Tokens: answer[i : i+1]})
}

// crash aborts all requests that an upstream runs; the upstream is available
// again immediately.
func (w *world) crash(u *fakeUpstream) {
	w.oracle.crashes[u.entry.ID]++
	runs := u.runs
	u.runs = nil
	for _, run := range runs {
		if !run.cancelled {
			w.fail(run, CauseCrashed)
			run.cancelled = true
		}
	}
}

// reclaimUpstream announces a reclaim and performs it after notice.
func (w *world) reclaimUpstream(u *fakeUpstream, notice time.Duration) {
	if !u.leaving.IsZero() {
		return
	}
	u.leaving, u.until = w.now, w.now.Add(notice)
	w.after(notice, func() {
		w.crash(u)
		u.dead = true
	})
}

package gateway

import (
	"expvar"
	"fmt"
	"net/http"
	"time"

	"github.com/sourcegraph/conc/panics"

	core "monsoonlanding/internal/core/gateway"
)

// restartDelay is the delay after which a background task that has panicked runs again.
const restartDelay = 500 * time.Millisecond

// panicCounts counts the panics that were caught, by where.
var panicCounts = expvar.NewMap("gateway_panics")

// guard calls f and reports whether it panicked. A panic is logged and counted, and it ends
// nothing else.
func (r *Runner) guard(where string, f func()) (panicked bool) {
	caught := panics.Try(f)
	if caught == nil {
		return false
	}
	r.reportPanic(where, caught.Value, caught.Stack)
	return true
}

func (r *Runner) reportPanic(where string, value any, stack []byte) {
	panicCounts.Add(where, 1)
	r.log.Error().Str("step", "panic").Str("where", where).Str("cause", fmt.Sprint(value)).
		Str("stack", string(stack)).Msg("panic caught")
}

// goCall calls f, which calls the platform or an upstream, in the background.
func (r *Runner) goCall(where string, f func()) {
	r.group.Go(func() { r.guard(where, f) })
}

// keepRunning runs a task in the background until the node stops, again if it panics.
func (r *Runner) keepRunning(where string, task func()) {
	r.group.Go(func() {
		for r.guard(where, task) && r.cfg.Clock.Sleep(r.ctx, restartDelay) {
		}
	})
}

// reduceGuarded passes an event to the reducer. If the reducer panics, the event has no effects
// but the end of the connection that it is of.
func (r *Runner) reduceGuarded(e core.Event) (effects []core.Effect) {
	where := fmt.Sprintf("reduce %T", e)
	if !r.guard(where, func() { effects = r.core.Reduce(r.cfg.Clock.Now(), e) }) {
		return effects
	}
	if conn, ok := connectionOf(e); ok {
		return []core.Effect{core.Abort{Conn: conn, Reason: core.ReasonFailed}}
	}
	return nil
}

// connectionOf returns the connection whose request an event is about, if it is about one that
// waits for an effect.
func connectionOf(e core.Event) (conn uint64, ok bool) {
	switch e := e.(type) {
	case core.Arrived:
		return e.Conn, true
	case core.Began:
		return e.Conn, true
	case core.Paced:
		return e.Conn, true
	case core.Ended:
		return e.Conn, true
	case core.Moved:
		return e.Conn, true
	case core.Expired:
		return e.Conn, true
	default:
		return 0, false
	}
}

// endPanicked ends the request of a handler that panics, and its connection. It is deferred.
func (h *handler) endPanicked() {
	value := recover()
	if value == nil {
		return
	}
	if value != http.ErrAbortHandler {
		caught := panics.NewRecovered(1, value)
		h.runner.reportPanic("handler", caught.Value, caught.Stack)
		h.runner.removeHandler(h, false)
	}
	// The server closes the connection without completing the answer.
	panic(http.ErrAbortHandler)
}

// Package clock defines an interface of a clock, so that the same code runs on
// the machine's clock and on a virtual one.
//
// # Usage
//
//	var c clock.Clock = clock.System{}
//	now := c.Now()
package clock

import (
	"context"
	"time"
)

// Clock returns the time, sleeps and creates timers.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// Sleep waits for d or until ctx is done, and reports whether d has passed.
	Sleep(ctx context.Context, d time.Duration) bool
	// NewTimer returns a timer that fires after d.
	NewTimer(d time.Duration) Timer
}

// Timer fires once, and once more after each Reset.
type Timer interface {
	// Fired returns a channel that receives the time when the timer fires.
	Fired() <-chan time.Time
	// Reset restarts a timer that runs, has fired or was stopped.
	Reset(d time.Duration)
	// Stop prevents the timer from firing.
	Stop()
}

// System is the machine's clock.
type System struct{}

// Now returns the machine's current time.
func (System) Now() time.Time { return time.Now() }

// NewTimer returns a timer on the machine's clock.
func (System) NewTimer(d time.Duration) Timer { return systemTimer{time.NewTimer(d)} }

type systemTimer struct{ timer *time.Timer }

func (t systemTimer) Fired() <-chan time.Time { return t.timer.C }

func (t systemTimer) Reset(d time.Duration) { t.timer.Reset(d) }

func (t systemTimer) Stop() { t.timer.Stop() }

// Sleep waits for d on the machine's clock or until ctx is done, and reports
// whether d has passed.
func (System) Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

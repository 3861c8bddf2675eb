package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a clock that does not jump when the wall clock is set: it starts at
// the wall clock's time and then follows the machine's CLOCK_BOOTTIME, which
// includes the time that the machine is suspended.
type Boot struct {
	System
	start            time.Time
	sinceBootAtStart time.Duration
}

// NewBoot returns a clock that starts at the wall clock's present time.
func NewBoot() *Boot { return &Boot{start: time.Now().Round(0), sinceBootAtStart: sinceBoot()} }

// Now returns the start time plus the time that has passed since.
func (b *Boot) Now() time.Time { return b.start.Add(sinceBoot() - b.sinceBootAtStart) }

// sinceBoot returns the time since the machine booted, including suspension.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: cannot read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime is a clock that does not jump when the wall clock is set: it starts at
// the wall clock's time and then follows the machine's CLOCK_BOOTTIME, which
// includes the time that the machine is suspended. Sleep and timers are those of
// System.
type BootTime struct {
	System
	start            time.Time
	sinceBootAtStart time.Duration
}

// NewBootTime returns a clock that starts at the wall clock's current time.
func NewBootTime() *BootTime {
	return &BootTime{start: time.Now().Round(0), sinceBootAtStart: sinceBoot()}
}

// Now returns the start time plus the time that has passed since.
func (b *BootTime) Now() time.Time { return b.start.Add(sinceBoot() - b.sinceBootAtStart) }

// sinceBoot returns the time since the machine booted, including suspension.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: cannot read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

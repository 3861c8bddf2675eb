package gateway

import (
	"time"

	core "monsoonlanding/internal/core/gateway"
)

// attemptPace measures the pace of an attempt at its first events.
type attemptPace struct {
	events int
	// first and last are when the first and the latest event arrived.
	first, last time.Time
	reported    bool
}

// interval returns the mean time between the events, 0 for fewer than two.
func (p attemptPace) interval() time.Duration {
	if p.events < 2 {
		return 0
	}
	return p.last.Sub(p.first) / time.Duration(p.events-1)
}

// measure reports the begin of an attempt's stream, and its pace once that is
// known.
func (h *handler) measure(d core.Dispatch, events []byte) {
	p := &h.stream.attempt
	if p.reported {
		return
	}
	p.last = h.runner.cfg.Clock.Now()
	if p.first.IsZero() {
		p.first = p.last
		h.runner.submit(core.Began{Conn: h.conn, Attempt: d.Attempt, Signals: h.signals, Connect: h.connect})
	}
	p.events += countEvents(events)
	if p.events >= core.PaceEvents {
		h.reportPace(d)
	}
}

// reportPace reports the pace of an attempt, once.
func (h *handler) reportPace(d core.Dispatch) {
	p := &h.stream.attempt
	if interval := p.interval(); interval > 0 && !p.reported {
		p.reported = true
		h.runner.submit(core.Paced{Conn: h.conn, Attempt: d.Attempt, Interval: interval})
	}
}

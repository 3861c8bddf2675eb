package gateway

import (
	"bytes"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
)

// loggedPerSecond is the number of requests per second whose log lines are
// written at once, about 200 KB/s. Above this rate, requests are sampled.
const loggedPerSecond = 200

// sampler selects the requests whose log lines are written regardless of their
// result. Either all lines of a request are written or none.
type sampler struct {
	second int64
	// current and previous count the requests in second and the one before.
	current, previous uint64
}

// selected counts a request and reports whether its lines are written at once.
func (s *sampler) selected(now time.Time, request string) bool {
	if second := now.Unix(); second != s.second {
		s.previous = s.current
		if second != s.second+1 {
			s.previous = 0
		}
		s.second, s.current = second, 0
	}
	s.current++
	rate := max(s.previous, s.current)
	return rate <= loggedPerSecond || xxhash.Sum64String(request)%rate < loggedPerSecond
}

// lineBuffer buffers the log lines of a request until it ends.
type lineBuffer struct {
	text bytes.Buffer
	log  zerolog.Logger
}

func newLineBuffer(log zerolog.Logger) *lineBuffer {
	b := &lineBuffer{}
	b.log = log.Output(&b.text)
	return b
}

// flushLines writes the buffered lines of a failed request and drops those of
// a successful one.
func (r *Runner) flushLines(lines *lineBuffer, failed bool) {
	if !failed {
		unloggedRequests.Add(1)
		return
	}
	// The log writer does not block, and it counts the lines that it drops.
	_, _ = r.cfg.LogOutput.Write(lines.text.Bytes())
}

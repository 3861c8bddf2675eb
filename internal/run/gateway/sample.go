package gateway

import (
	"bytes"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
)

// loggedRequests is how many requests a second have their lines written at
// once, about 200 KB/s. Beyond it, lines of a drawn part are.
const loggedRequests = 200

// sampler draws the requests whose lines are written whatever comes of them.
// All lines of a request are written or none.
type sampler struct {
	second int64
	// present and past count the requests of this second and the one before.
	present, past uint64
}

// chosen counts a request and reports whether its lines are written at once.
func (s *sampler) chosen(now time.Time, request string) bool {
	if second := now.Unix(); second != s.second {
		s.past = s.present
		if second != s.second+1 {
			s.past = 0
		}
		s.second, s.present = second, 0
	}
	s.present++
	rate := max(s.past, s.present)
	return rate <= loggedRequests || xxhash.Sum64String(request)%rate < loggedRequests
}

// heldLines are the lines of a request that wait for its end.
type heldLines struct {
	text bytes.Buffer
	log  zerolog.Logger
}

func newHeldLines(log zerolog.Logger) *heldLines {
	held := &heldLines{}
	held.log = log.Output(&held.text)
	return held
}

// release writes the lines of a request that failed and drops the others.
func (r *Runner) release(held *heldLines, failed bool) {
	if !failed {
		unloggedRequests.Add(1)
		return
	}
	// The writer of the log does not block and counts what it drops.
	_, _ = r.cfg.Lines.Write(held.text.Bytes())
}

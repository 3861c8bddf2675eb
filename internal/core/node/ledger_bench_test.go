package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"monsoonlanding/internal/core/caller"
)

// bookingLoad is the outcome and cost of bookings sent at a constant rate.
type bookingLoad struct {
	bookings, answered, refused, unknown int
	reads, writes                        int
	latency                              *hdrhistogram.Histogram
}

// book sends bookings at a rate for a period of virtual time and waits for all
// of them to end.
func book(w *world, rate float64, d, timeout time.Duration) bookingLoad {
	reads, writes := w.store.reads, w.store.writes
	total := int(rate * d.Seconds())
	var callers []*fakeCaller
	for i := range total {
		w.after(time.Duration(float64(i)/rate*float64(time.Second)), func() {
			f := w.newCaller(fmt.Sprintf("x%d-%d", w.now.UnixNano(), i), fmt.Appendf(nil, "%d", i), true, timeout)
			callers = append(callers, f)
			f.send()
		})
	}
	w.run(d + timeout + 2*time.Second)
	out := bookingLoad{bookings: total, latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	for _, f := range callers {
		out.add(f)
	}
	out.reads, out.writes = w.store.reads-reads, w.store.writes-writes
	return out
}

func (l *bookingLoad) add(f *fakeCaller) {
	switch e := f.final.(type) {
	case caller.Done:
		l.answered++
		_ = l.latency.RecordValue(f.ended.Sub(f.started).Microseconds())
	case caller.Failed:
		if e.Refusal.Outcome == caller.NotRun {
			l.refused++
			return
		}
		l.unknown++
	}
}

// ledgerBytes returns the size of all ledger objects.
func (w *world) ledgerBytes() int {
	bytes := 0
	for path, o := range w.store.objects {
		if strings.HasPrefix(path, "ledger/") {
			bytes += len(o.Value)
		}
	}
	return bytes
}

func (l *bookingLoad) ms(quantile float64) float64 {
	return float64(l.latency.ValueAtQuantile(quantile)) / 1000
}

// BenchmarkLedger measures the object calls per booking and the added latency
// compared with the same load without claims, at 7 nodes and a store that
// answers in 2 to 4 ms.
func BenchmarkLedger(b *testing.B) {
	for _, rate := range []float64{1, 10, 100, 500} {
		b.Run(fmt.Sprintf("rate=%g", rate), func(b *testing.B) {
			for b.Loop() {
				w := newWorld(1, 7, 4, Faults{})
				with := book(w, rate, 20*time.Second, 8*time.Second)
				without := book(newWorld(1, 7, 4, Faults{SkipClaim: true}), rate, 20*time.Second, 8*time.Second)
				b.ReportMetric(float64(with.writes)/float64(with.bookings), "writes/booking")
				b.ReportMetric(float64(with.reads)/float64(with.bookings), "reads/booking")
				b.ReportMetric(float64(with.writes)/20, "writes/s")
				b.ReportMetric(with.ms(50)-without.ms(50), "added-p50-ms")
				b.ReportMetric(with.ms(95)-without.ms(95), "added-p95-ms")
				b.ReportMetric(float64(with.bookings-with.answered), "unanswered")
				b.ReportMetric(float64(w.ledgerBytes())/float64(with.bookings), "bytes/booking")
			}
		})
	}
}

// BenchmarkOutage measures the bookings refused because of an outage of the
// object API, at 5 bookings per second with a timeout of 8 s.
func BenchmarkOutage(b *testing.B) {
	for _, outage := range []time.Duration{30 * time.Second, 10 * time.Minute} {
		b.Run(outage.String(), func(b *testing.B) {
			for b.Loop() {
				w := newWorld(1, 7, 4, Faults{})
				w.after(10*time.Second, func() { w.store.down = true })
				w.after(10*time.Second+outage, func() { w.store.down = false })
				l := book(w, 5, outage+20*time.Second, 8*time.Second)
				b.ReportMetric(float64(l.bookings), "bookings")
				b.ReportMetric(float64(l.refused), "refused-not-run")
				b.ReportMetric(float64(l.unknown), "unknown")
			}
		})
	}
}

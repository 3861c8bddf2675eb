package placement

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPick measures a choice among the upstreams of a large fleet, by what is learned of them.
func BenchmarkPick(b *testing.B) {
	for _, learning := range []Learning{LearnOff, LearnOn} {
		b.Run(fmt.Sprint(learning), func(b *testing.B) {
			s := newSet("a", 120)
			s.Learn(learning)
			now := epoch
			for b.Loop() {
				now = now.Add(50 * time.Millisecond)
				s.Pick(now, Query{Service: "s"})
			}
		})
	}
}

// BenchmarkMergeSamples measures the samples of one status.
func BenchmarkMergeSamples(b *testing.B) {
	s := newSet("a", 120)
	s.Learn(LearnOn)
	shared := &SharedSamples{}
	for range maxSharedSamples {
		shared.List = append(shared.List, SharedSample{Process: s.members["u7"].processHash(), Stretch: 20, Load: 10, Weight: 16})
	}
	for b.Loop() {
		shared.Last += maxSharedSamples
		s.MergeSamples(epoch, "b", 1, shared)
	}
}

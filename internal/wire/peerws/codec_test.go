package peerws

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/placement"
)

// TestTimesRoundTripExactly checks that encoding does not round times. The start
// of an upstream's process distinguishes it from other processes of the same
// upstream.
func TestTimesRoundTripExactly(t *testing.T) {
	c := qt.New(t)
	codec, err := NewCodec()
	c.Assert(err, qt.IsNil)
	for ms := range int64(2000) {
		startedAt := time.UnixMilli(1_790_000_000_000 + 7*ms)
		frame, err := codec.Encode(peer.UpstreamsDelta{Revision: 3, Put: []placement.Upstream{{ID: "u", StartedAt: startedAt}}})
		c.Assert(err, qt.IsNil)
		m, err := codec.Decode(frame)
		c.Assert(err, qt.IsNil)
		got := m.(peer.UpstreamsDelta).Put[0].StartedAt
		c.Assert(got.Equal(startedAt), qt.IsTrue, qt.Commentf("%v became %v", startedAt, got))
	}
}

// TestCutMessageIsNoMessage: no message decodes from a part of its frame.
func TestCutMessageIsNoMessage(t *testing.T) {
	c := qt.New(t)
	codec, err := NewCodec()
	c.Assert(err, qt.IsNil)
	for _, m := range messageTypes {
		frame, err := codec.Encode(m)
		c.Assert(err, qt.IsNil)
		for n := range frame {
			_, err := codec.Decode(frame[:n])
			c.Assert(err, qt.IsNotNil, qt.Commentf("%T, %d of %d bytes", m, n, len(frame)))
		}
	}
}

package gateway

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestUnpackedConfigurationIsBounded: what a peer sends is decompressed whole or not at all,
// and not without bounds.
func TestUnpackedConfigurationIsBounded(t *testing.T) {
	c := qt.New(t)
	body := bytes.Repeat([]byte("route"), 1000)
	packed, err := pack(body)
	c.Assert(err, qt.IsNil)
	c.Assert(len(packed) < len(body)/10, qt.IsTrue)
	unpacked, err := unpack(packed)
	c.Assert(err, qt.IsNil)
	c.Assert(unpacked, qt.DeepEquals, body)

	tooLarge, err := pack(make([]byte, maxConfigBytes+1))
	c.Assert(err, qt.IsNil)
	for _, invalid := range [][]byte{nil, []byte("no gzip"), packed[:len(packed)/2], packed[:len(packed)-1], tooLarge} {
		_, err := unpack(invalid)
		c.Check(err, qt.IsNotNil)
	}
}

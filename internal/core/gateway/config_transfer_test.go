package gateway

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/peer"
)

// withConfig returns a status of a node that has a version of the configuration.
func withConfig(node string, version int64) peer.Status {
	s := status(node)
	s.ConfigVersion, s.TakesParts = version, true
	return s
}

// parts returns the parts of a configuration as a peer sends them.
func parts(version int64, packed []byte) []peer.ConfigPart {
	var list []peer.ConfigPart
	for offset := 0; offset < len(packed); offset += configPartBytes {
		end := min(offset+configPartBytes, len(packed))
		list = append(list, peer.ConfigPart{
			Version: version, Digest: xxhash.Sum64(packed), Size: len(packed), Offset: offset, Data: packed[offset:end],
		})
	}
	return list
}

// askedFor returns the first request for a configuration among the effects, and the node
// that is asked.
func askedFor(effects []Effect) (request peer.ConfigRequest, node string, ok bool) {
	for _, e := range effects {
		send, _ := e.(Send)
		if m, isRequest := send.Message.(peer.ConfigRequest); isRequest {
			return m, send.Node, true
		}
	}
	return peer.ConfigRequest{}, "", false
}

// sendsPartTo reports whether the effects include a part of a configuration for a node.
func sendsPartTo(node string, effects []Effect) bool {
	for _, e := range effects {
		send, _ := e.(Send)
		if _, isPart := send.Message.(peer.ConfigPart); isPart && send.Node == node {
			return true
		}
	}
	return false
}

func (b *bench) receiveFrom(node string, m peer.Message) []Effect {
	return b.reduce(PeerReceived{From: node, Message: m})
}

// unpacked returns the UnpackConfig among the effects.
func unpacked(effects []Effect) (UnpackConfig, bool) {
	for _, e := range effects {
		if u, ok := e.(UnpackConfig); ok {
			return u, true
		}
	}
	return UnpackConfig{}, false
}

var largeConfig = bytes.Repeat([]byte("0123456789abcdef"), 3*configPartBytes/16+10)

// TestConfigurationIsAskedForOnce: while parts arrive, nobody else is asked, whatever
// statuses say.
func TestConfigurationIsAskedForOnce(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("d1", "desk"))
	request, _, ok := askedFor(b.receive(withConfig("b", 2)))
	b.Assert(ok, qt.IsTrue)
	b.Assert(request, qt.Equals, peer.ConfigRequest{Version: 2})
	for i, part := range parts(2, largeConfig) {
		for _, other := range []string{"c", "d", "b"} {
			_, _, asked := askedFor(b.receive(withConfig(other, 2)))
			b.Assert(asked, qt.IsFalse)
		}
		b.now = b.now.Add(partTimeout - TickInterval)
		effects := b.receiveFrom("b", part)
		if last := (i+1)*configPartBytes >= len(largeConfig); last {
			u, ok := unpacked(effects)
			b.Assert(ok, qt.IsTrue)
			b.Assert(u, qt.DeepEquals, UnpackConfig{Version: 2, Packed: largeConfig, Node: "b"})
			continue
		}
		next, to, ok := askedFor(effects)
		b.Assert(ok, qt.IsTrue)
		b.Assert(to, qt.Equals, "b")
		b.Assert(next.Offset, qt.Equals, (i+1)*configPartBytes)
	}
	// Nobody is asked while the configuration is decoded.
	_, _, asked := askedFor(b.receive(withConfig("c", 2)))
	b.Assert(asked, qt.IsFalse)
}

// TestTransferGoesOnAtAnotherPeer: the peer that sends the parts falls silent.
func TestTransferGoesOnAtAnotherPeer(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("d1", "desk"))
	b.receive(withConfig("b", 2))
	b.receiveFrom("b", parts(2, largeConfig)[0])
	b.now = b.now.Add(partTimeout)
	b.receive(withConfig("c", 2))
	next, to, ok := askedFor(b.wait(TickInterval))
	if !ok {
		b.now = b.now.Add(-TickInterval)
	}
	b.Assert(b.g.spread.transfer.from, qt.Equals, "c")
	if ok {
		b.Assert(to, qt.Equals, "c")
		b.Assert(next, qt.Equals, peer.ConfigRequest{Version: 2, Digest: xxhash.Sum64(largeConfig), Offset: configPartBytes})
	}
	for _, part := range parts(2, largeConfig)[1:] {
		effects := b.receiveFrom("c", part)
		if u, ok := unpacked(effects); ok {
			b.Assert(u.Packed, qt.DeepEquals, largeConfig)
			return
		}
	}
	b.Fatal("transfer not complete")
}

// TestGiverServesFewAtOnce: a node serves a bounded number of peers and refuses the others
// at once. One that has its last part, or is silent, leaves its place.
func TestGiverServesFewAtOnce(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("d1", "desk"))
	b.reduce(ConfigPacked{Version: 1, Packed: largeConfig})
	ask := func(i, offset int) bool {
		node := fmt.Sprint("n", i)
		b.receive(withConfig(node, 1))
		request := peer.ConfigRequest{Version: 1, Digest: xxhash.Sum64(largeConfig), Offset: offset}
		return sendsPartTo(node, b.receiveFrom(node, request))
	}
	for i := range maxConfigReceivers {
		b.Assert(ask(i, 0), qt.IsTrue)
	}
	b.Assert(ask(9, 0), qt.IsFalse)
	b.Assert(ask(0, 3*configPartBytes), qt.IsTrue)
	b.Assert(ask(9, 0), qt.IsTrue)
	b.Assert(ask(10, 0), qt.IsFalse)
	b.wait(3 * partTimeout)
	b.Assert(ask(10, 0), qt.IsTrue)
}

// TestBusyPeerIsNotAskedAgainAtOnce: another one is asked instead.
func TestBusyPeerIsNotAskedAgainAtOnce(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("d1", "desk"))
	b.receive(withConfig("b", 2))
	b.receive(withConfig("c", 2))
	_, to, ok := askedFor(b.receiveFrom("b", peer.ConfigBusy{}))
	b.Assert(ok, qt.IsTrue)
	b.Assert(to, qt.Equals, "c")
	_, _, ok = askedFor(b.receiveFrom("c", peer.ConfigBusy{}))
	b.Assert(ok, qt.IsFalse)
	_, _, ok = askedFor(b.wait(2 * busyPause))
	b.Assert(ok, qt.IsTrue)
}

// TestInvalidConfigurationOfPeerIsRejected: the one in force stays, the log names it once, and
// the whole is fetched from another peer.
func TestInvalidConfigurationOfPeerIsRejected(t *testing.T) {
	good := parts(2, []byte("packed"))[0]
	for name, change := range map[string]func(*peer.ConfigPart){
		"size too large":    func(p *peer.ConfigPart) { p.Size = maxPackedConfig + 1 },
		"size negative":     func(p *peer.ConfigPart) { p.Size = -1 },
		"more than size":    func(p *peer.ConfigPart) { p.Size = 3 },
		"empty part":        func(p *peer.ConfigPart) { p.Data = nil },
		"digest differs":    func(p *peer.ConfigPart) { p.Data = []byte("pocked") },
		"can't be decoded":  nil,
		"of another offset": func(p *peer.ConfigPart) { p.Offset = 3 },
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, "a")
			b.ready(up("d1", "desk"))
			b.receive(withConfig("b", 2))
			part := good
			if change != nil {
				change(&part)
			}
			effects := b.receiveFrom("b", part)
			if change == nil {
				effects = b.reduce(ConfigInvalid{Version: 2, Node: "b", Size: part.Size, Problem: "no JSON"})
			}
			_, decoded := unpacked(effects)
			b.Assert(decoded, qt.IsFalse)
			b.Assert(b.g.table.Version(), qt.Equals, int64(1))
			b.wait(silentPause - TickInterval)
			b.receive(withConfig("c", 2))
			b.wait(2 * TickInterval)
			b.Assert(b.g.spread.transfer.from, qt.Equals, "c")
			u, ok := unpacked(b.receiveFrom("c", good))
			b.Assert(ok, qt.IsTrue)
			b.Assert(u.Node, qt.Equals, "c")
		})
	}
}

// TestConfigurationIsReadFromTheStoreIfPeersFail: a node that knows of a newer configuration
// and gets none reads it itself.
func TestConfigurationIsReadFromTheStoreIfPeersFail(t *testing.T) {
	b := newBench(t, "a")
	b.ready(up("d1", "desk"))
	b.receive(withConfig("b", 2))
	listed := 0
	for range 20 {
		b.receive(withConfig("b", 2))
		if lists(FeedConfig, b.wait(TickInterval)) {
			listed++
		}
	}
	b.Assert(listed >= 1 && listed <= 2, qt.IsTrue, qt.Commentf("%d", listed))
}

// TestConfigurationIsAnnounced: a node that has read it from the store tells all peers, one
// that has it from a peer those of its zone. Peers of older builds get a status.
func TestConfigurationIsAnnounced(t *testing.T) {
	for _, fromStore := range []bool{true, false} {
		b := newBench(t, "a")
		b.ready(up("d1", "desk"))
		near, far, older := withConfig("near", 1), withConfig("far", 1), status("older")
		near.Zone, far.Zone = "z1", "z2"
		for _, s := range []peer.Status{near, far, older} {
			b.receive(s)
		}
		b.now = b.now.Add(TickInterval)
		read := ConfigRead{Config: testConfig(2), Body: []byte("2"), Source: "store"}
		if !fromStore {
			read.Packed, read.Source = []byte("packed"), "b"
		}
		effects := b.reduce(read)
		if fromStore {
			effects = b.reduce(ConfigPacked{Version: 2, Packed: []byte("packed")})
		}
		told := make(map[string]bool)
		for _, e := range effects {
			send, ok := e.(Send)
			if !ok {
				continue
			}
			switch m := send.Message.(type) {
			case peer.ConfigNotice:
				b.Assert(m.Version, qt.Equals, int64(2))
				told[send.Node] = true
			case peer.Status:
				told["status to "+send.Node] = true
			}
		}
		want := map[string]bool{"near": true, "status to older": true}
		if fromStore {
			want["far"] = true
		}
		b.Assert(told, qt.DeepEquals, want)
	}
}

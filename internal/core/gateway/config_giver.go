package gateway

import (
	"github.com/cespare/xxhash/v2"

	"monsoonlanding/internal/core/peer"
)

// setPacked sets the compressed configuration in force and announces it to the peers, who
// may then ask for it.
func (g *Gateway) setPacked(packed []byte) {
	g.spread.packed, g.spread.digest = packed, xxhash.Sum64(packed)
	version := g.table.Version()
	var older []*member
	for _, m := range g.sortedMembers() {
		nearby := m.status.Zone == g.cfg.Zone || g.spread.announceToAll
		switch {
		case !g.inContact(m) || m.configVersion() >= version:
		case !m.status.TakesParts:
			older = append(older, m)
		case nearby:
			g.emit(Send{Node: m.node, Address: m.address, Message: peer.ConfigNotice{Version: version}})
		}
	}
	if len(older) > 0 {
		g.sendStatus(older)
	}
}

func (g *Gateway) configPacked(e ConfigPacked) {
	if e.Version == g.table.Version() {
		g.setPacked(e.Packed)
	}
}

// configRequested sends a peer a part of the configuration in force, or refuses. Older builds
// ask for the whole one.
func (g *Gateway) configRequested(from string, request peer.ConfigRequest) {
	m := g.members[from]
	if m == nil || g.table.Version() == 0 {
		return
	}
	if request.Version == 0 {
		g.emit(Send{Node: m.node, Address: m.address, Message: peer.ConfigUpdate{Version: g.table.Version(), Body: g.configBody}})
		return
	}
	if g.spread.packed == nil || g.table.Version() < request.Version || !g.admitReceiver(from) {
		g.emit(Send{Node: m.node, Address: m.address, Message: peer.ConfigBusy{}})
		return
	}
	g.sendPart(m, request)
}

// admitReceiver reports whether the node is one of those that this node serves.
func (g *Gateway) admitReceiver(node string) bool {
	for receiver, at := range g.spread.receivers {
		if g.now.Sub(at) > 2*partTimeout {
			delete(g.spread.receivers, receiver)
		}
	}
	_, known := g.spread.receivers[node]
	if !known && len(g.spread.receivers) >= maxConfigReceivers {
		return false
	}
	g.spread.receivers[node] = g.now
	return true
}

func (g *Gateway) sendPart(m *member, request peer.ConfigRequest) {
	packed := g.spread.packed
	offset := request.Offset
	if request.Digest != g.spread.digest || offset < 0 || offset >= len(packed) {
		offset = 0
	}
	end := min(offset+configPartBytes, len(packed))
	if end == len(packed) {
		delete(g.spread.receivers, m.node)
	}
	g.emit(Send{Node: m.node, Address: m.address, Message: peer.ConfigPart{
		Version: g.table.Version(), Digest: g.spread.digest, Size: len(packed), Offset: offset, Data: packed[offset:end],
	}})
}

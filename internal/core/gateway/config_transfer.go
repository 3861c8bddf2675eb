package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonlanding/internal/core/peer"
)

const (
	// configPartBytes is the size of the parts in which a configuration is sent. A status
	// waits behind one part of each receiver at most.
	configPartBytes = 16 << 10
	// maxConfigReceivers bounds the receivers that a node serves at the same time. Those that
	// are refused find a node that has the configuration by then.
	maxConfigReceivers = 4
	// maxPackedConfig bounds a compressed configuration, in bytes.
	maxPackedConfig = 8 << 20
	// partTimeout is the time without an answer after which a transfer goes on at another
	// node.
	partTimeout = 500 * time.Millisecond
	// busyPause is the time for which a node that serves others is not asked again, and
	// silentPause that for one that did not answer.
	busyPause   = 100 * time.Millisecond
	silentPause = time.Second
	// configListInterval is the time without a newer configuration that peers have after
	// which a node reads it from the store, and the interval between two such reads.
	configListInterval = time.Second
)

// configTransfer is the transfer of a newer configuration from a peer. There is one at a
// time.
type configTransfer struct {
	version int64
	// digest identifies the bytes that are transferred, size is their number, and data holds
	// those that have arrived. They are unknown before the first part.
	digest uint64
	size   int
	data   []byte
	// from is the node that is asked for the next part since askedAt, empty if none is.
	from    string
	askedAt time.Time
}

// rejectedConfig identifies an invalid configuration of a peer.
type rejectedConfig struct {
	node    string
	version int64
	problem string
}

// configSpread is what a node knows of the spread of configurations.
type configSpread struct {
	// packed is the compressed configuration in force, nil before it is known; digest
	// identifies it.
	packed []byte
	digest uint64
	// announceToAll is set if the configuration in force was read from the store: peers do
	// not know yet that any node has it.
	announceToAll bool
	// receivers holds the nodes that this node sends its configuration, with the time of
	// their latest request.
	receivers map[string]time.Time
	transfer  *configTransfer
	// decoding is the version that is being decoded, 0 if none is.
	decoding int64
	// No peer is asked before pausedUntil. rejected is the configuration that was rejected
	// last.
	pausedUntil time.Time
	rejected    rejectedConfig
	// behindSince is when a peer first had a newer configuration, or when the store was last
	// asked for it, zero if none has.
	behindSince time.Time
}

// configVersion returns the version of the configuration that the member is known to have.
func (m *member) configVersion() int64 { return max(m.status.ConfigVersion, m.announcedConfig) }

func (g *Gateway) configAnnounced(from string, n peer.ConfigNotice) {
	if m := g.members[from]; m != nil {
		m.announcedConfig = max(m.announcedConfig, n.Version)
		g.fetchConfig()
	}
}

// fetchConfig asks a peer for a newer configuration if one is known. A transfer goes on as
// long as parts arrive; it is not repeated while an answer may be under way.
func (g *Gateway) fetchConfig() {
	wanted := g.wantedConfig()
	if wanted == 0 {
		g.spread.transfer, g.spread.behindSince = nil, time.Time{}
		return
	}
	g.listConfigIfBehind()
	t := g.spread.transfer
	if t != nil && t.from != "" {
		if g.now.Sub(t.askedAt) < partTimeout {
			return
		}
		g.log("config", "peer does not send its configuration", "peer", t.from, "version", t.version, "received", len(t.data), "size", t.size)
		g.pauseGiver(t.from, silentPause)
		t.from = ""
	}
	giver := g.configGiver(wanted)
	if giver == nil || g.now.Before(g.spread.pausedUntil) {
		return
	}
	if t == nil || t.version != wanted {
		t = &configTransfer{version: wanted}
		g.spread.transfer = t
	}
	g.log("config", "requesting configuration from peer", "peer", giver.node, "version", wanted, "own", g.table.Version(), "offset", len(t.data))
	g.askForPart(t, giver)
}

// wantedConfig returns the latest version that a peer in contact has, 0 if this node has it
// or decodes it.
func (g *Gateway) wantedConfig() int64 {
	own := max(g.table.Version(), g.spread.decoding)
	wanted := own
	for _, m := range g.members {
		if g.inContact(m) {
			wanted = max(wanted, m.configVersion())
		}
	}
	if wanted == own {
		return 0
	}
	return wanted
}

// listConfigIfBehind reads the configuration from the store if no peer has sent it in time.
func (g *Gateway) listConfigIfBehind() {
	if g.spread.behindSince.IsZero() {
		g.spread.behindSince = g.now
	}
	if !g.storeDown && g.now.Sub(g.spread.behindSince) >= configListInterval {
		g.spread.behindSince = g.now
		g.emit(ListFeed{Feed: FeedConfig})
	}
}

// configGiver chooses a peer that has a version, at random, in this node's zone if possible;
// nil if all of them are paused.
func (g *Gateway) configGiver(version int64) *member {
	var nearby, others []*member
	for _, m := range g.sortedMembers() {
		switch {
		case !g.inContact(m) || m.configVersion() < version || g.now.Before(m.configPausedUntil):
		case m.status.Zone == g.cfg.Zone:
			nearby = append(nearby, m)
		default:
			others = append(others, m)
		}
	}
	if len(nearby) == 0 {
		nearby = others
	}
	if len(nearby) == 0 {
		return nil
	}
	return nearby[g.rng.IntN(len(nearby))]
}

// pauseGiver excludes a peer as the source of configurations for a while.
func (g *Gateway) pauseGiver(node string, d time.Duration) {
	if m := g.members[node]; m != nil {
		m.configPausedUntil = g.now.Add(d)
	}
}

func (g *Gateway) askForPart(t *configTransfer, giver *member) {
	t.from, t.askedAt = giver.node, g.now
	request := peer.ConfigRequest{}
	if giver.status.TakesParts {
		request = peer.ConfigRequest{Version: t.version, Digest: t.digest, Offset: len(t.data)}
	}
	g.emit(Send{Node: giver.node, Address: giver.address, Message: request})
}

// configBusy processes the refusal of a peer that serves others.
func (g *Gateway) configBusy(from string) {
	g.pauseGiver(from, busyPause)
	if t := g.spread.transfer; t != nil && t.from == from {
		t.from = ""
		g.fetchConfig()
	}
}

// configPart adds a part to the transfer and asks for the next one, or decodes the whole.
func (g *Gateway) configPart(from string, p peer.ConfigPart) {
	t := g.spread.transfer
	giver := g.members[from]
	if t == nil || t.from != from || giver == nil {
		return
	}
	if p.Offset == 0 && (p.Version != t.version || p.Digest != t.digest) {
		// The first part, or the peer has other bytes than those before it.
		t.version, t.digest, t.size, t.data = p.Version, p.Digest, p.Size, nil
	}
	switch {
	case p.Digest != t.digest || p.Offset != len(t.data):
		return
	case p.Size > maxPackedConfig || len(p.Data) == 0 || len(t.data)+len(p.Data) > p.Size:
		g.rejectTransfer(t, "size is invalid")
		return
	}
	t.data = append(t.data, p.Data...)
	if len(t.data) < t.size {
		g.askForPart(t, giver)
		return
	}
	if xxhash.Sum64(t.data) != t.digest {
		g.rejectTransfer(t, "digest differs")
		return
	}
	g.spread.transfer, g.spread.decoding = nil, t.version
	g.emit(UnpackConfig{Version: t.version, Packed: t.data, Node: from})
}

// rejectTransfer gives up a transfer whose bytes are invalid and leaves its source out for a
// while.
func (g *Gateway) rejectTransfer(t *configTransfer, problem string) {
	g.spread.transfer = nil
	g.configRejected(t.from, t.version, t.size, problem)
}

// configRejected leaves a peer out for a while as a source of configurations, and any other
// one for as long: peers usually have the same bytes.
func (g *Gateway) configRejected(node string, version int64, size int, problem string) {
	g.pauseGiver(node, 2*silentPause)
	g.spread.pausedUntil = g.now.Add(silentPause)
	if rejected := (rejectedConfig{node, version, problem}); rejected != g.spread.rejected {
		g.spread.rejected = rejected
		g.log("config", "configuration of peer is invalid", "peer", node, "version", version, "size", size, "problem", problem)
	}
}

// configInvalid processes a configuration that can't be decoded. The one in force stays.
func (g *Gateway) configInvalid(e ConfigInvalid) {
	if g.spread.decoding == e.Version {
		g.spread.decoding = 0
	}
	g.configRejected(e.Node, e.Version, e.Size, e.Problem)
}

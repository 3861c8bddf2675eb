package gateway

import (
	"time"

	"monsoonlanding/internal/core/peer"
)

const (
	// crashesBeforeRefusal is the number of crashes of upstreams on requests with
	// the same content after which such requests are refused.
	crashesBeforeRefusal = 2
	// crashRetention is the time after the last crash for which the count of a
	// content is retained.
	crashRetention = 60 * time.Second
)

// suspects counts crashes of upstreams by the content of the request: attempts
// whose connection broke before the upstream began to answer.
type suspects struct {
	own   map[uint64]*crashCount
	peers map[string]map[uint64]int
}

type crashCount struct {
	count int
	last  time.Time
}

func newSuspects() suspects {
	return suspects{own: make(map[uint64]*crashCount), peers: make(map[string]map[uint64]int)}
}

func (s *suspects) recordCrash(now time.Time, fingerprint uint64) {
	c := s.own[fingerprint]
	if c == nil {
		c = &crashCount{}
		s.own[fingerprint] = c
	}
	c.count++
	c.last = now
}

// clear removes this node's count of content that was answered.
func (s *suspects) clear(fingerprint uint64) { delete(s.own, fingerprint) }

// refused reports whether upstreams crashed too often on requests with this
// content, counted over all nodes.
func (s *suspects) refused(fingerprint uint64) bool {
	total := 0
	if c := s.own[fingerprint]; c != nil {
		total = c.count
	}
	for _, counts := range s.peers {
		total += counts[fingerprint]
	}
	return total >= crashesBeforeRefusal
}

func (s *suspects) prune(now time.Time) {
	for fingerprint, c := range s.own {
		if now.Sub(c.last) > crashRetention {
			delete(s.own, fingerprint)
		}
	}
}

// contentCrashes returns this node's counts for the peers.
func (s *suspects) contentCrashes() []peer.ContentCrashes {
	var list []peer.ContentCrashes
	for fingerprint, c := range s.own {
		list = append(list, peer.ContentCrashes{Fingerprint: fingerprint, Crashes: c.count})
	}
	return list
}

// peerReported replaces the counts of a peer.
func (s *suspects) peerReported(node string, list []peer.ContentCrashes) {
	if len(list) == 0 {
		delete(s.peers, node)
		return
	}
	counts := make(map[uint64]int, len(list))
	for _, c := range list {
		counts[c.Fingerprint] = c.Crashes
	}
	s.peers[node] = counts
}

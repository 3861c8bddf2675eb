package http1

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxExchanges bounds the requests on one connection, since it remembers all of them.
const maxExchanges = 256

// history holds the IDs of the requests that a connection has carried, hashed: an ID would keep
// the whole head that it was read from in memory. The zero value is empty.
type history struct{ hashes []uint64 }

func (h *history) add(id string) { h.hashes = append(h.hashes, xxhash.Sum64String(id)) }

func (h *history) contains(id string) bool { return slices.Contains(h.hashes, xxhash.Sum64String(id)) }

func (h *history) len() int { return len(h.hashes) }

func (h *history) isFull() bool { return len(h.hashes) >= maxExchanges }

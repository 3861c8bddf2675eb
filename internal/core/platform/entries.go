package platform

import (
	"sort"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"monsoonlanding/internal/core/peer"
)

// decide returns the result of op for the given entries, and whether op changes
// an entry.
func decide(entries map[uint64]peer.Entry, op Op) (Result, bool) {
	current, found := entries[op.Entry.KeyHash]
	granted, write := false, false
	if op.Entry.State == peer.EntryClaimed {
		granted, write = decideClaim(current, found, op)
	} else {
		granted, write = decideCompletion(current, found, op)
	}
	if write {
		current = op.Entry
	}
	return Result{Op: op.ID, Granted: granted, Entry: current}, write
}

func decideClaim(current peer.Entry, found bool, op Op) (granted, write bool) {
	if !found || current.State == peer.EntryReleased {
		return true, true
	}
	if current.State != peer.EntryClaimed {
		return false, false
	}
	if current.Holder == op.Entry.Holder && current.Instance == op.Entry.Instance {
		return current.Claim <= op.Entry.Claim, current.Claim < op.Entry.Claim
	}
	superseded := current.Holder == op.Supersedes.Holder && current.Claim == op.Supersedes.Number
	return superseded, superseded
}

// decideCompletion handles results and releases, which apply only to the claim
// that they were submitted for.
func decideCompletion(current peer.Entry, found bool, op Op) (granted, write bool) {
	if !found || current.Holder != op.Entry.Holder || current.Claim != op.Entry.Claim {
		return false, false
	}
	if current.State == peer.EntryClaimed {
		return true, true
	}
	return current.State == op.Entry.State, false
}

func encode(entries map[uint64]peer.Entry) ([]byte, error) {
	list := make([]peer.Entry, 0, len(entries))
	for _, e := range entries {
		list = append(list, e)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].KeyHash < list[j].KeyHash })
	value, err := cbor.Marshal(list)
	if err != nil {
		return nil, errors.Wrap(err, "encode ledger shard")
	}
	return value, nil
}

func decode(value []byte) (map[uint64]peer.Entry, error) {
	entries := make(map[uint64]peer.Entry)
	if len(value) == 0 {
		return entries, nil
	}
	var list []peer.Entry
	if err := cbor.Unmarshal(value, &list); err != nil {
		return nil, errors.Wrap(err, "decode ledger shard")
	}
	for _, e := range list {
		entries[e.KeyHash] = e
	}
	return entries, nil
}

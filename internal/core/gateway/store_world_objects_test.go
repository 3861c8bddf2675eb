package gateway

import (
	"maps"
	"slices"

	"monsoonlanding/internal/core/leader"
	"monsoonlanding/internal/core/store"
)

func (w *storeWorld) readLease() Event {
	if w.objects.lease == nil {
		return LeaseRead{Result: leader.ResultMissing}
	}
	return LeaseRead{Result: leader.ResultOK, Stored: w.storedLease()}
}

func (w *storeWorld) storedLease() leader.Stored {
	stored := *w.objects.lease
	stored.Revision = w.at(stored.Revision.Number)
	return stored
}

// writeLease writes the lease if it has the revision that the call names. A node that
// knows of a later generation does not make the call, as in the platform's adapter.
func (w *storeWorld) writeLease(e WriteLease) Event {
	lease := w.objects.lease
	switch {
	case e.IfRevision.Number > 0 && !w.hideGeneration && e.IfRevision.Generation != w.generation:
		w.putLeaseByChance(e)
		return LeaseWritten{Result: leader.ResultUnknown}
	case lease == nil && e.IfRevision.Number != 0:
		return LeaseWritten{Result: leader.ResultMissing}
	case lease != nil && lease.Revision.Number != e.IfRevision.Number:
		return LeaseWritten{Result: leader.ResultConflict, Stored: w.storedLease()}
	}
	w.putLease(e.Lease)
	return LeaseWritten{Result: leader.ResultOK, Stored: w.storedLease()}
}

// putLeaseByChance carries out a write that was on its way when the store was restored,
// if the lease has by chance the revision that it names.
func (w *storeWorld) putLeaseByChance(e WriteLease) {
	if lease := w.objects.lease; lease != nil && lease.Revision.Number == e.IfRevision.Number {
		w.putLease(e.Lease)
	}
}

func (w *storeWorld) putLease(l leader.Lease) {
	w.objects.rev++
	w.objects.lease = &leader.Stored{Lease: l, Revision: store.Revision{Number: w.objects.rev}}
}

func (w *storeWorld) listed() Event {
	list := UpstreamsListed{Revision: w.at(w.objects.rev)}
	for _, id := range slices.Sorted(maps.Keys(w.objects.entries)) {
		list.List = append(list.List, w.objects.entries[id])
	}
	return list
}

func (w *storeWorld) changedSince(known store.Revision) (UpstreamsChanged, bool) {
	changed := UpstreamsChanged{Revision: w.at(w.objects.rev)}
	for _, c := range w.objects.changes {
		switch {
		case c.rev <= known.Number:
		case c.removed:
			changed.Removed = append(changed.Removed, c.id)
		default:
			changed.Put = append(changed.Put, c.put)
		}
	}
	return changed, len(changed.Put)+len(changed.Removed) > 0
}

func (w *storeWorld) writeConfig() {
	w.version += 2
	w.versionAt = w.now
	w.objects.rev++
	w.objects.config = w.version
}

// Package evacuation keeps which availability zones are evacuated, from reads of the store and
// from what peers report.
//
// A Mark says whether a zone is evacuated at a revision of the store. Of two marks of a zone the
// one at the later revision counts, wherever it comes from, so marks may arrive in any order and
// more than once. A complete list of the store is a mark for every zone: the
// evacuation of a zone that it lacks has ended. The list of a store that was restored from a copy is no such proof, because
// the copy may be older than the order: zones that it lacks stay evacuated for Retention, or until
// the operator writes and removes the order again.
package evacuation

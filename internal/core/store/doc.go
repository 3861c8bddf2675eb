// Package store holds what nodes know of the history of the platform's store.
//
// # Generations
//
// The store numbers its changes by revisions. When it is restored from a copy, the
// changes since that copy are lost and their revisions are given out again, and the
// store's generation rises. Revisions of two generations say nothing about each other's
// order, so a Revision carries its generation, and one of an earlier generation comes
// before all of a later one.
//
// A store that names no generation is never restored; its generation is 0.
//
// # Usage
//
//	if read.Revision.Compare(known) <= 0 {
//		return // Nothing new.
//	}
package store

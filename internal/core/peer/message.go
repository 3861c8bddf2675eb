package peer

import (
	"time"

	"monsoonlanding/internal/core/caller"
	"monsoonlanding/internal/core/upstream"
)

// Message is a message between nodes.
type Message interface{ peerMessage() }

// Ping probes the receiver, which responds with an Ack of the same Seq.
type Ping struct {
	Seq     uint64   `cbor:"1,keyasint"`
	Members []Member `cbor:"2,keyasint,omitempty"`
}

// Ack is the response to a Ping.
type Ack struct {
	Seq     uint64   `cbor:"1,keyasint"`
	Members []Member `cbor:"2,keyasint,omitempty"`
}

// PingRequest requests the receiver to probe Target on the sender's behalf.
type PingRequest struct {
	Seq     uint64   `cbor:"1,keyasint"`
	Target  string   `cbor:"2,keyasint"`
	Members []Member `cbor:"3,keyasint,omitempty"`
}

// Copy sends a request and its answer so far to a backup.
type Copy struct {
	Request caller.Request `cbor:"1,keyasint"`
	// Epoch is the epoch of Holder; each change of holder starts a higher one.
	Epoch  uint64 `cbor:"2,keyasint"`
	Holder string `cbor:"3,keyasint"`
	// Backups lists all nodes that receive a copy, in the order in which they
	// take over.
	Backups []string `cbor:"4,keyasint"`
	Run     string   `cbor:"5,keyasint,omitempty"`
	Parent  string   `cbor:"6,keyasint,omitempty"`
	Base    int      `cbor:"7,keyasint,omitempty"`
	Tokens  []string `cbor:"8,keyasint,omitempty"`
	Done    bool     `cbor:"9,keyasint,omitempty"`
	Result  []byte   `cbor:"10,keyasint,omitempty"`
	// Refusal is set if the request ended without an answer.
	Refusal *caller.Refusal `cbor:"11,keyasint,omitempty"`
	// MayHaveRun is set if some attempt may have run the request.
	MayHaveRun bool `cbor:"12,keyasint,omitempty"`
}

// CopyAck is the response to a Copy.
type CopyAck struct {
	Key      string `cbor:"1,keyasint"`
	Instance string `cbor:"2,keyasint"`
	Epoch    uint64 `cbor:"3,keyasint"`
	// Status is the result of the copy on the backup.
	Status CopyStatus `cbor:"4,keyasint"`
	// Holder is the node that already holds the key, if Status is CopyKeyHeld.
	Holder string `cbor:"5,keyasint,omitempty"`
	// HolderEpoch is the epoch of Holder.
	HolderEpoch uint64 `cbor:"6,keyasint,omitempty"`
	// MayHaveRun is set if an earlier submission of the key may have run.
	MayHaveRun bool `cbor:"7,keyasint,omitempty"`
}

// CopyStatus is the result of a Copy on the backup.
type CopyStatus string

// Results of a Copy.
const (
	// CopyStored means that the backup stored the copy.
	CopyStored CopyStatus = "kept"
	// CopyKeyHeld means that another node or submission holds the key.
	CopyKeyHeld CopyStatus = "held"
	// CopyKeyReused means that the key is in use with a different content.
	CopyKeyReused CopyStatus = "reused"
	// CopyDropped means that a Drop for the copy arrived before the copy.
	CopyDropped CopyStatus = "dropped"
	// CopyGap means that tokens before those of the copy are missing.
	CopyGap CopyStatus = "gap"
	// CopyNoMemory means that the backup has no memory for the copy.
	CopyNoMemory CopyStatus = "full"
)

// Progress appends tokens to a copy and may complete it.
type Progress struct {
	Key      string   `cbor:"1,keyasint"`
	Instance string   `cbor:"2,keyasint"`
	Epoch    uint64   `cbor:"3,keyasint"`
	Run      string   `cbor:"4,keyasint"`
	Offset   int      `cbor:"5,keyasint"`
	Tokens   []string `cbor:"6,keyasint,omitempty"`
	Done     bool     `cbor:"7,keyasint,omitempty"`
	Result   []byte   `cbor:"8,keyasint,omitempty"`
}

// Drop requests the receiver to discard its copy, if it has one, and never to
// run the submission. The receiver reports any other submission of the key that
// it knows.
type Drop struct {
	Key      string `cbor:"1,keyasint"`
	Instance string `cbor:"2,keyasint"`
	Epoch    uint64 `cbor:"3,keyasint"`
}

// DropAck is the response to a Drop.
type DropAck struct {
	Key      string `cbor:"1,keyasint"`
	Instance string `cbor:"2,keyasint"`
	Epoch    uint64 `cbor:"3,keyasint"`
	// TakenOver is set if the backup has become the holder in the meantime.
	TakenOver bool `cbor:"4,keyasint,omitempty"`
	// Unknown is set if the backup has no record of the submission.
	Unknown bool `cbor:"5,keyasint,omitempty"`
	// Holder is the node that holds another submission of the key.
	Holder string `cbor:"6,keyasint,omitempty"`
	// RecordsMayBeLost is set if all nodes that had a record of the key may have
	// died.
	RecordsMayBeLost bool `cbor:"7,keyasint,omitempty"`
}

// HandOver hands a request over to the receiver, which becomes its holder.
type HandOver struct {
	Copy Copy `cbor:"1,keyasint"`
	// Claim is the sender's claim on a non-idempotent request. The sender no
	// longer acts on it.
	Claim ClaimRef `cbor:"2,keyasint"`
}

// HandOverAck is the response to a HandOver. Accepted is set if its sender is
// now the holder.
type HandOverAck struct {
	Key      string `cbor:"1,keyasint"`
	Instance string `cbor:"2,keyasint"`
	Epoch    uint64 `cbor:"3,keyasint"`
	Accepted bool   `cbor:"4,keyasint"`
}

// Lookup requests the holder of a key.
type Lookup struct {
	Key string `cbor:"1,keyasint"`
	// Sub is the sender's number for the subscription of the waiting caller.
	Sub uint64 `cbor:"2,keyasint"`
}

// LookupReply is the response to a Lookup.
type LookupReply struct {
	Key    string `cbor:"1,keyasint"`
	Sub    uint64 `cbor:"2,keyasint"`
	Holder string `cbor:"3,keyasint,omitempty"`
	// HasCopy is set if the sender has a copy, even if the holder is dead.
	HasCopy bool `cbor:"4,keyasint,omitempty"`
}

// Follow subscribes the sender to the answer of a key, starting at a position.
type Follow struct {
	Key      string          `cbor:"1,keyasint"`
	Sub      uint64          `cbor:"2,keyasint"`
	Position caller.Position `cbor:"3,keyasint"`
}

// FollowEvent sends one event of an answer to a subscriber. One of the event
// fields is set; if none is, the sender does not hold the key.
type FollowEvent struct {
	Sub       uint64            `cbor:"1,keyasint"`
	Accepted  *caller.Accepted  `cbor:"2,keyasint,omitempty"`
	Tokens    *caller.Tokens    `cbor:"3,keyasint,omitempty"`
	Restarted *caller.Restarted `cbor:"4,keyasint,omitempty"`
	Done      *caller.Done      `cbor:"5,keyasint,omitempty"`
	Failed    *caller.Failed    `cbor:"6,keyasint,omitempty"`
	// Holder is the current holder of the key, if the sender knows it.
	Holder string `cbor:"7,keyasint,omitempty"`
}

// Unfollow ends a subscription.
type Unfollow struct {
	Key string `cbor:"1,keyasint"`
	Sub uint64 `cbor:"2,keyasint"`
}

// Cancel requests the holder to cancel a request.
type Cancel struct {
	Key string `cbor:"1,keyasint"`
}

// LedgerRequest requests the preferred node of a ledger shard to write an entry.
type LedgerRequest struct {
	Op    uint64 `cbor:"1,keyasint"`
	Entry Entry  `cbor:"2,keyasint"`
	// Supersedes identifies a claim whose holder has given it up; the entry may
	// replace that claim.
	Supersedes ClaimRef `cbor:"3,keyasint"`
}

// ClaimRef identifies one claim of one holder.
type ClaimRef struct {
	Holder string `cbor:"1,keyasint,omitempty"`
	Number uint64 `cbor:"2,keyasint,omitempty"`
}

// LedgerReply is the response to a LedgerRequest, with the entry found or written.
type LedgerReply struct {
	Op      uint64 `cbor:"1,keyasint"`
	Granted bool   `cbor:"2,keyasint"`
	Full    bool   `cbor:"3,keyasint,omitempty"`
	Entry   Entry  `cbor:"4,keyasint"`
}

// EntryState is the state of a ledger entry.
type EntryState string

// States of a ledger entry.
const (
	EntryClaimed  EntryState = "claimed"
	EntryDone     EntryState = "done"
	EntryReleased EntryState = "released"
)

// Entry is the ledger's record of one non-idempotent request.
type Entry struct {
	// KeyHash is the hash of the team and the key.
	KeyHash  uint64     `cbor:"1,keyasint"`
	Instance string     `cbor:"2,keyasint"`
	Holder   string     `cbor:"3,keyasint"`
	State    EntryState `cbor:"4,keyasint"`
	Content  uint64     `cbor:"5,keyasint"`
	// UnixSeconds is the time at which the operation that wrote the entry was
	// submitted to the ledger. The retention period counts from it.
	UnixSeconds int64  `cbor:"6,keyasint"`
	Result      []byte `cbor:"7,keyasint,omitempty"`
	// Claim is the number that the holder gave the claim; later claims have
	// higher numbers.
	Claim uint64 `cbor:"8,keyasint"`
}

// UpstreamLeaving notifies peers that an upstream accepts no new work.
type UpstreamLeaving struct {
	Upstream string    `cbor:"1,keyasint"`
	Until    time.Time `cbor:"2,keyasint"`
}

// ContentSuspect notifies peers that upstreams crashed while running a request
// content.
type ContentSuspect struct {
	Content uint64 `cbor:"1,keyasint"`
	// Crashes lists the names of the crashes, each made of the upstream and the
	// time.
	Crashes []string `cbor:"2,keyasint"`
}

// UpstreamList publishes the list of upstreams to the other nodes of a zone.
// If Base is set, List and Removed are the changes since the list with that hash.
// Without Base and List, the message only announces the hash. A receiver that
// does not have the base list requests the full list with RequestFull.
type UpstreamList struct {
	Hash        uint64              `cbor:"1,keyasint"`
	RequestFull bool                `cbor:"2,keyasint,omitempty"`
	List        []upstream.Upstream `cbor:"3,keyasint,omitempty"`
	Base        uint64              `cbor:"4,keyasint,omitempty"`
	Removed     []string            `cbor:"5,keyasint,omitempty"`
}

// SuspectRequest requests an upstream for a suspected content from the service's
// arbiter. No other suspected content runs on that upstream at the same time.
type SuspectRequest struct {
	Key     string   `cbor:"1,keyasint"`
	Content uint64   `cbor:"2,keyasint"`
	Service string   `cbor:"3,keyasint"`
	Version string   `cbor:"4,keyasint,omitempty"`
	Exclude []string `cbor:"5,keyasint,omitempty"`
}

// SuspectGrant is the response to a SuspectRequest.
type SuspectGrant struct {
	Key      string `cbor:"1,keyasint"`
	Content  uint64 `cbor:"2,keyasint"`
	Upstream string `cbor:"3,keyasint"`
}

// SuspectRelease releases a granted upstream.
type SuspectRelease struct {
	Upstream string `cbor:"1,keyasint"`
	Content  uint64 `cbor:"2,keyasint"`
}

// RulesUpdate sends the accepted rules to a peer. Without a document it announces
// the sender's revision. A receiver with a higher revision then responds with its
// rules, and a receiver with a lower one with its own revision.
type RulesUpdate struct {
	Revision uint64 `cbor:"1,keyasint"`
	Document []byte `cbor:"2,keyasint,omitempty"`
	// RequestRevision requests the receiver's revision even if it is the same.
	RequestRevision bool `cbor:"3,keyasint,omitempty"`
}

// VersionStopped notifies peers that a version must not receive new work any
// more.
type VersionStopped struct {
	Move    string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Version string `cbor:"3,keyasint"`
	Reason  string `cbor:"4,keyasint"`
}

// Evidence holds a node's cumulative counts of the outcomes of each version in
// a move.
type Evidence struct {
	Move string `cbor:"1,keyasint"`
	// Node is the node that counted; its counts never decrease.
	Node     string         `cbor:"2,keyasint"`
	Versions []VersionCount `cbor:"3,keyasint"`
}

// VersionCount holds the outcomes of one version on one route.
type VersionCount struct {
	Version string `cbor:"1,keyasint"`
	Route   string `cbor:"2,keyasint"`
	Good    uint64 `cbor:"3,keyasint"`
	// Bad counts failed and late outcomes.
	Bad uint64 `cbor:"4,keyasint"`
}

// MoveUpdate sends the state of a move to a peer.
type MoveUpdate struct {
	Move     string `cbor:"1,keyasint"`
	Document []byte `cbor:"2,keyasint"`
}

func (Ping) peerMessage()            {}
func (Ack) peerMessage()             {}
func (PingRequest) peerMessage()     {}
func (Copy) peerMessage()            {}
func (CopyAck) peerMessage()         {}
func (Progress) peerMessage()        {}
func (Drop) peerMessage()            {}
func (DropAck) peerMessage()         {}
func (HandOver) peerMessage()        {}
func (HandOverAck) peerMessage()     {}
func (Lookup) peerMessage()          {}
func (LookupReply) peerMessage()     {}
func (Follow) peerMessage()          {}
func (FollowEvent) peerMessage()     {}
func (Unfollow) peerMessage()        {}
func (LedgerRequest) peerMessage()   {}
func (LedgerReply) peerMessage()     {}
func (UpstreamLeaving) peerMessage() {}
func (ContentSuspect) peerMessage()  {}
func (Cancel) peerMessage()          {}
func (UpstreamList) peerMessage()    {}
func (SuspectRequest) peerMessage()  {}
func (SuspectGrant) peerMessage()    {}
func (SuspectRelease) peerMessage()  {}
func (RulesUpdate) peerMessage()     {}
func (VersionStopped) peerMessage()  {}
func (MoveUpdate) peerMessage()      {}
func (Evidence) peerMessage()        {}

package peer

import (
	"time"

	"monsoonlanding/internal/core/evacuation"
	"monsoonlanding/internal/core/placement"
	"monsoonlanding/internal/core/quarantine"
	"monsoonlanding/internal/core/store"
)

// Status is the status message that a gateway node broadcasts several times per
// second.
type Status struct {
	// Node is the name of the VM; Start distinguishes successive processes on
	// the VM.
	Node  string `cbor:"1,keyasint"`
	Start int64  `cbor:"2,keyasint"`
	// Seq grows with each status of a process, 0 if the sender numbers none.
	Seq  uint64 `cbor:"26,keyasint,omitempty"`
	Zone string `cbor:"3,keyasint"`
	// CallerAddress and PeerAddress are IP:port.
	CallerAddress string `cbor:"4,keyasint"`
	PeerAddress   string `cbor:"5,keyasint"`
	// Ready is set if the node accepts new callers.
	Ready bool `cbor:"6,keyasint"`
	// ConfigVersion is the version of the configuration in force.
	ConfigVersion int64 `cbor:"7,keyasint"`
	// Load is the load that the node's requests put on each upstream.
	Load []UpstreamLoad `cbor:"8,keyasint"`
	// QuotaSpent is the quota that each team has spent since Start.
	QuotaSpent []TeamQuotaSpent `cbor:"9,keyasint"`
	// Usage is the number of requests started per team in the latest windows.
	Usage []UsageWindow `cbor:"10,keyasint"`
	// Time is the sender's estimate of the true time.
	Time time.Time `cbor:"11,keyasint"`
	// LeaseToken is the fencing token of the lease that the node holds, or 0.
	LeaseToken int64 `cbor:"12,keyasint"`
	// LeaseRevision is the revision of the lease that the node claims, 0 if it claims none.
	LeaseRevision int64 `cbor:"41,keyasint,omitempty"`
	// ResignedToken is the latest fencing token that the node has resigned, 0 if none.
	ResignedToken int64 `cbor:"40,keyasint,omitempty"`
	// Orders holds the upstreams that the lease holder has ordered and that may still be starting.
	Orders []FleetOrder `cbor:"42,keyasint,omitempty"`
	// KnownNodes lists a few nodes that the sender has received messages from
	// recently.
	KnownNodes []KnownNode `cbor:"13,keyasint"`
	// Limits holds the limits that upstreams have named to the sender.
	Limits []placement.ObservedLimit `cbor:"20,keyasint,omitempty"`
	// Brittle holds the rejections a second that upstreams have said to the sender they bear.
	Brittle []placement.ObservedLimit `cbor:"32,keyasint,omitempty"`
	// Samples are times of answers that differ from the usual, for the capacity of upstreams.
	Samples *placement.SharedSamples `cbor:"36,keyasint,omitempty"`
	// Cold holds the upstreams that are cold by what the sender has read of them.
	Cold []ColdUpstream `cbor:"38,keyasint,omitempty"`
	// Quarantine is what the sender knows of requests that may crash upstreams.
	Quarantine quarantine.Report `cbor:"19,keyasint"`
	// UpstreamsRevision is the store's revision of the latest change to the
	// sender's list of upstreams.
	UpstreamsRevision int64 `cbor:"15,keyasint"`
	// StoreGeneration is the generation of the store to which the revisions in the
	// status belong.
	StoreGeneration int64 `cbor:"21,keyasint,omitempty"`
	// StoreUnavailable is set if the store does not respond to the sender.
	StoreUnavailable bool `cbor:"17,keyasint,omitempty"`
	// Rollouts is the sender's status of each open rollout.
	Rollouts []RolloutStatus `cbor:"18,keyasint,omitempty"`
	// TakesParts is set if the sender knows ConfigNotice, ConfigPart and ConfigBusy.
	TakesParts bool `cbor:"25,keyasint,omitempty"`
	// PathsLost is set while the sender reaches no upstream and others do, Reaches if an
	// upstream has just answered the sender.
	PathsLost bool `cbor:"27,keyasint,omitempty"`
	Reaches   bool `cbor:"28,keyasint,omitempty"`
	// Unreached holds the processes of upstreams to which the sender can open no connection
	// and asks whether others reach them; Reached holds those among the ones that peers ask
	// for which have just answered the sender.
	Unreached []uint64          `cbor:"30,keyasint,omitempty"`
	Reached   []ReachedUpstream `cbor:"31,keyasint,omitempty"`
	// TakesRelays is set if the sender takes requests that other nodes pass on.
	TakesRelays bool `cbor:"29,keyasint,omitempty"`
	// TakesForwards is set if the sender takes a StatusForward.
	TakesForwards bool `cbor:"33,keyasint,omitempty"`
	// Unreachable holds the nodes in the sender's zone to which it can open no connection.
	Unreachable []string `cbor:"34,keyasint,omitempty"`
	// Departed holds the processes of upstreams that are gone, for some seconds after the
	// store was restored.
	Departed []uint64 `cbor:"24,keyasint,omitempty"`
	// Report is the latest usage report that the sender knows to have been in the lease.
	Report *UsageReport `cbor:"23,keyasint,omitempty"`
	// Leaving holds the processes of upstreams that have said in an answer that they leave,
	// as quarantine.ProcessID identifies them.
	Leaving []uint64 `cbor:"22,keyasint,omitempty"`
	// Evacuations holds what the sender knows of the evacuated availability zones.
	Evacuations []evacuation.Mark `cbor:"37,keyasint,omitempty"`
	// EngineLoad is the engine time that the sender's requests require, per service.
	EngineLoad []ServiceEngineLoad `cbor:"16,keyasint,omitempty"`
}

// StatusForward asks the receiver to forward the status of a node in another availability zone to
// the nodes in its own.
type StatusForward struct {
	Status Status `cbor:"1,keyasint"`
}

// ColdUpstream is the process of an upstream that stays cold for a time.
type ColdUpstream struct {
	Process uint64        `cbor:"1,keyasint"`
	Left    time.Duration `cbor:"2,keyasint"`
}

// ReachedUpstream is the process of an upstream, with the time since it has last answered.
type ReachedUpstream struct {
	Process uint64        `cbor:"1,keyasint"`
	Age     time.Duration `cbor:"2,keyasint"`
}

// UsageReport is a usage report that a lease holder has written into the lease.
type UsageReport struct {
	Window   int64            `cbor:"1,keyasint"`
	Counts   map[string]int64 `cbor:"2,keyasint"`
	Accepted bool             `cbor:"3,keyasint,omitempty"`
	// Generation is the store's generation in which the report was first written.
	Generation int64 `cbor:"4,keyasint,omitempty"`
}

// UpstreamsAt returns the revision of the latest change to the sender's list of upstreams.
func (s Status) UpstreamsAt() store.Revision {
	return store.Revision{Generation: s.StoreGeneration, Number: s.UpstreamsRevision}
}

// RolloutStatus is a node's status of an open rollout.
type RolloutStatus struct {
	Service string `cbor:"1,keyasint"`
	Version string `cbor:"2,keyasint"`
	// Decides is set if the sender decides on the rollout; Share is valid only
	// then.
	Decides bool    `cbor:"3,keyasint,omitempty"`
	Share   float64 `cbor:"4,keyasint,omitempty"`
	// Stopped is set if the sender found the new version clearly bad.
	Stopped bool `cbor:"5,keyasint,omitempty"`
	// New and Old count the answers of the two versions since the rollout was
	// ordered.
	New AnswerCounts `cbor:"6,keyasint"`
	Old AnswerCounts `cbor:"7,keyasint"`
	// TimeLimit is the time limit of the rollout and Elapsed the part of it that
	// has passed. Revision is the store's revision of the rollout's order.
	TimeLimit time.Duration `cbor:"10,keyasint"`
	Elapsed   time.Duration `cbor:"11,keyasint"`
	Revision  int64         `cbor:"12,keyasint"`
	// Verdict is the rollout's verdict if the store may have lost it.
	Verdict string `cbor:"13,keyasint,omitempty"`
}

// AnswerCounts counts the answers of a version by result.
type AnswerCounts struct {
	Good   int64 `cbor:"1,keyasint"`
	Failed int64 `cbor:"2,keyasint"`
	Late   int64 `cbor:"3,keyasint"`
}

// ServiceEngineLoad is the load that a node's requests put on a service, as the
// average number of engines that they keep busy.
type ServiceEngineLoad struct {
	Service string  `cbor:"1,keyasint"`
	Engines float64 `cbor:"2,keyasint"`
	// Recent is the same over a shorter period, 0 from older builds.
	Recent float64 `cbor:"3,keyasint,omitempty"`
}

// UpstreamLoad is the load that a node's requests put on one upstream.
type UpstreamLoad struct {
	Upstream string `cbor:"1,keyasint"`
	Running  int    `cbor:"2,keyasint"`
	// Prefill and Memory are in tokens.
	Prefill int `cbor:"3,keyasint"`
	Memory  int `cbor:"4,keyasint"`
}

// TeamQuotaSpent is the quota that a team has spent on one node, in the units of
// the quota.
type TeamQuotaSpent struct {
	Team  string  `cbor:"1,keyasint"`
	Units float64 `cbor:"2,keyasint"`
	// Asked counts the units of all requests, refused ones too.
	Asked float64 `cbor:"3,keyasint,omitempty"`
	// RankPercent divides what the team has asked for lately by rank of urgency, while it is near
	// its quota.
	RankPercent []int `cbor:"4,keyasint,omitempty"`
}

// UsageWindow holds the number of requests per team that started in a window.
type UsageWindow struct {
	Window int64            `cbor:"1,keyasint"`
	Counts map[string]int64 `cbor:"2,keyasint"`
}

// KnownNode is the address of a node.
type KnownNode struct {
	Node        string `cbor:"1,keyasint"`
	PeerAddress string `cbor:"2,keyasint"`
}

// UpstreamsDelta is a change to the list of upstreams, published by a node that
// watches the store.
type UpstreamsDelta struct {
	// Revision is the store's revision of this change and Previous that of the
	// change before it.
	Revision int64                `cbor:"1,keyasint"`
	Previous int64                `cbor:"2,keyasint"`
	Put      []placement.Upstream `cbor:"3,keyasint,omitempty"`
	Removed  []string             `cbor:"4,keyasint,omitempty"`
	// Generation is the generation of the store to which the revisions belong.
	Generation int64 `cbor:"5,keyasint,omitempty"`
}

// At returns the revision of the change.
func (d UpstreamsDelta) At() store.Revision {
	return store.Revision{Generation: d.Generation, Number: d.Revision}
}

// ConfigNotice announces that the sender has a version of the configuration.
type ConfigNotice struct {
	Version int64 `cbor:"1,keyasint"`
}

// ConfigRequest requests a part of a peer's compressed configuration, answered by a
// ConfigPart or by ConfigBusy. Without a version it requests the whole configuration, answered
// by a ConfigUpdate.
type ConfigRequest struct {
	Version int64 `cbor:"1,keyasint,omitempty"`
	// Digest identifies the bytes of which the receiver has those before Offset.
	Digest uint64 `cbor:"2,keyasint,omitempty"`
	Offset int    `cbor:"3,keyasint,omitempty"`
}

// ConfigPart carries a part of a compressed configuration of Size bytes. The sender may have
// a later version than the one requested, or other bytes; the part is then the first one.
type ConfigPart struct {
	Version int64  `cbor:"1,keyasint"`
	Digest  uint64 `cbor:"2,keyasint"`
	Size    int    `cbor:"3,keyasint"`
	Offset  int    `cbor:"4,keyasint"`
	Data    []byte `cbor:"5,keyasint"`
}

// ConfigBusy refuses a ConfigRequest, because the sender serves other nodes or does not have
// the version.
type ConfigBusy struct{}

// ConfigUpdate carries a configuration in the form that the platform stores.
type ConfigUpdate struct {
	Version int64  `cbor:"1,keyasint"`
	Body    []byte `cbor:"2,keyasint"`
}

func (Status) peerMessage()         {}
func (StatusForward) peerMessage()  {}
func (UpstreamsDelta) peerMessage() {}
func (ConfigNotice) peerMessage()   {}
func (ConfigRequest) peerMessage()  {}
func (ConfigPart) peerMessage()     {}
func (ConfigBusy) peerMessage()     {}
func (ConfigUpdate) peerMessage()   {}

// FleetOrder is an order of upstreams that the platform has accepted.
type FleetOrder struct {
	Service     string        `cbor:"1,keyasint"`
	Zone        string        `cbor:"2,keyasint"`
	Reclaimable bool          `cbor:"3,keyasint,omitempty"`
	Count       int           `cbor:"4,keyasint"`
	Age         time.Duration `cbor:"5,keyasint"`
}

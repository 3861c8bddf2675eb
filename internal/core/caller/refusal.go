package caller

import "time"

// Outcome states whether a refused request ran.
type Outcome string

// Outcomes of a refusal.
const (
	NotRun  Outcome = "not_run"
	Unknown Outcome = "unknown"
	Ran     Outcome = "ran"
)

// Reason is the reason why a request was refused.
type Reason string

// Reasons for a refusal.
const (
	ReasonUnknownService      Reason = "unknown_service"
	ReasonUnknownTeam         Reason = "unknown_team"
	ReasonNoRules             Reason = "no_rules"
	ReasonDeadlineExceeded    Reason = "deadline_exceeded"
	ReasonDeadlineUnreachable Reason = "deadline_unreachable"
	ReasonQueueFull           Reason = "queue_full"
	ReasonTeamLimit           Reason = "team_limit"
	ReasonMemoryLimit         Reason = "memory_limit"
	ReasonKeyReused           Reason = "key_reused"
	ReasonNoBackup            Reason = "no_backup"
	ReasonNodeLeaving         Reason = "node_leaving"
	ReasonStoreUnavailable    Reason = "store_unavailable"
	ReasonClaimedElsewhere    Reason = "claimed_elsewhere"
	ReasonQuarantined         Reason = "content_quarantined"
	ReasonUpstreamFailed      Reason = "upstream_failed"
	ReasonUpstreamRefused     Reason = "upstream_refused"
	ReasonRetryBudget         Reason = "retry_budget"
	ReasonCancelled           Reason = "cancelled"
	ReasonNotFound            Reason = "not_found"
	ReasonHolderLost          Reason = "holder_lost"
)

// Reasons returns every reason, so that a counter exists for each from the
// start of the process.
func Reasons() []Reason {
	return []Reason{
		ReasonUnknownService, ReasonUnknownTeam, ReasonNoRules, ReasonDeadlineExceeded,
		ReasonDeadlineUnreachable, ReasonQueueFull, ReasonTeamLimit, ReasonMemoryLimit,
		ReasonKeyReused, ReasonNoBackup, ReasonNodeLeaving, ReasonStoreUnavailable,
		ReasonClaimedElsewhere, ReasonQuarantined,
		ReasonUpstreamFailed, ReasonUpstreamRefused, ReasonRetryBudget,
		ReasonCancelled, ReasonNotFound, ReasonHolderLost,
	}
}

// Refusal is the final reply to a request that gets no answer.
type Refusal struct {
	Outcome Outcome `cbor:"1,keyasint" json:"outcome"`
	Reason  Reason  `cbor:"2,keyasint" json:"reason"`
	// Step is the step of request processing that refused the request.
	Step string `cbor:"3,keyasint" json:"step"`
	// Peer is the node, upstream or platform involved, if any.
	Peer   string `cbor:"4,keyasint,omitempty" json:"peer,omitempty"`
	Detail string `cbor:"5,keyasint,omitempty" json:"detail,omitempty"`
	// RetryAfter is the delay before the caller may retry; zero means that a
	// retry is not advised.
	RetryAfter time.Duration `cbor:"6,keyasint,omitempty" json:"-"`
}

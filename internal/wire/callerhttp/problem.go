package callerhttp

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"monsoonlanding/internal/core/caller"
)

// Problem is the body of a refusal, as defined by RFC 9457.
type Problem struct {
	Type    string         `json:"type"`
	Title   string         `json:"title"`
	Status  int            `json:"status"`
	Detail  string         `json:"detail,omitempty"`
	Outcome caller.Outcome `json:"outcome"`
	Reason  caller.Reason  `json:"reason"`
	Step    string         `json:"step"`
	Peer    string         `json:"peer,omitempty"`
	// RetryAfterSeconds has the value of the Retry-After header, which a failed
	// event in a stream cannot carry.
	RetryAfterSeconds int `json:"retry_after_seconds,omitempty"`
}

// ReasonMalformed is the reason for refusing a request that cannot be parsed.
const ReasonMalformed caller.Reason = "malformed"

// ReasonUnauthorized is the reason for refusing a request without a valid
// bearer key.
const ReasonUnauthorized caller.Reason = "unauthorized"

func problemOf(r caller.Refusal) Problem {
	return Problem{
		Type:              "about:blank",
		Title:             "the request was refused",
		Status:            statusOf(r.Reason),
		Detail:            r.Detail,
		Outcome:           r.Outcome,
		Reason:            r.Reason,
		Step:              r.Step,
		Peer:              r.Peer,
		RetryAfterSeconds: int(math.Ceil(r.RetryAfter.Seconds())),
	}
}

func statusOf(reason caller.Reason) int {
	switch reason {
	case ReasonMalformed:
		return http.StatusBadRequest
	case ReasonUnauthorized:
		return http.StatusUnauthorized
	case caller.ReasonUnknownTeam:
		return http.StatusForbidden
	case caller.ReasonUnknownService, caller.ReasonNotFound:
		return http.StatusNotFound
	case caller.ReasonKeyReused, caller.ReasonQuarantined:
		return http.StatusUnprocessableEntity
	case caller.ReasonQueueFull, caller.ReasonTeamLimit:
		return http.StatusTooManyRequests
	case caller.ReasonDeadlineExceeded:
		return http.StatusGatewayTimeout
	case caller.ReasonUpstreamFailed, caller.ReasonUpstreamRefused:
		return http.StatusBadGateway
	case caller.ReasonCancelled, caller.ReasonClaimedElsewhere:
		return http.StatusConflict
	}
	return http.StatusServiceUnavailable
}

func writeProblem(w http.ResponseWriter, p Problem) {
	w.Header().Set("Content-Type", "application/problem+json")
	if p.RetryAfterSeconds > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(p.RetryAfterSeconds))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

func malformed(detail string) Problem {
	return problemOf(caller.Refusal{Outcome: caller.NotRun, Reason: ReasonMalformed, Step: "receive", Detail: detail})
}

// refusalOf is the inverse of problemOf.
func (p Problem) refusalOf() caller.Refusal {
	return caller.Refusal{
		Outcome: p.Outcome, Reason: p.Reason, Step: p.Step, Peer: p.Peer, Detail: p.Detail,
		RetryAfter: time.Duration(p.RetryAfterSeconds) * time.Second,
	}
}

package gateway

// Connect is what became of the connection of an attempt.
type Connect string

// Connects.
const (
	// ConnectReused: the connection had been open before.
	ConnectReused Connect = "reused"
	// ConnectOpened: the connection was opened for the attempt.
	ConnectOpened Connect = "opened"
	// ConnectFailed: no connection could be opened.
	ConnectFailed Connect = "failed"
)

// Exchange describes the exchange of an attempt, for the log.
type Exchange struct {
	// Connection identifies the connection in this process, 0 if none was opened.
	Connection uint64
	// Earlier is the number of requests that the connection carried before.
	Earlier int
	// Extra is the number of copies of earlier answers that came before the request's own one
	// and were skipped.
	Extra int
	// Names is the request that the answer names, empty if it names none.
	Names string
}

// Framing is how an upstream's answer marks its end.
type Framing string

// Framings of answers.
const (
	FramingLength Framing = "length"
	FramingChunks Framing = "chunks"
	// FramingClose: the answer ends with its connection. An orderly close does not
	// prove that it is whole.
	FramingClose Framing = "close"
)

// Framings lists all framings, so that each has a counter from the start.
func Framings() []Framing { return []Framing{FramingLength, FramingChunks, FramingClose} }

// Load is what an upstream reports of its load.
type Load struct {
	// Running and Waiting count its requests, Slots is how many it runs at once.
	Running, Waiting, Slots int
	// Slowdown is how long work takes there now, as a multiple of the usual time, 0 if it does
	// not say.
	Slowdown float64
}

// Result is how an attempt ended.
type Result string

// Results of attempts.
const (
	// ResultComplete: the whole answer was relayed.
	ResultComplete Result = "complete"
	// ResultClosed: a stream ended after an event because its connection was
	// closed in order, and nothing else marks its end. It may be whole.
	ResultClosed Result = "closed"
	// ResultErrored: the upstream answered completely, with an error of its
	// own.
	ResultErrored Result = "errored"
	// ResultFull: the upstream refused for lack of capacity; not run.
	ResultFull Result = "full"
	// ResultMisdirected: another upstream has the address; not run.
	ResultMisdirected Result = "misdirected"
	// ResultRefused: the upstream refused for another reason; not run.
	ResultRefused Result = "refused"
	// ResultRelayRefused: the node that the request was passed on to refused it; not run.
	ResultRelayRefused Result = "relay_refused"
	// ResultWithheld: the upstream asked for a pause before the request was written; not run.
	ResultWithheld Result = "withheld"
	// ResultUnreachable: nothing was written on a connection; not run.
	ResultUnreachable Result = "unreachable"
	// ResultBroken: the connection broke after the request was written, or the
	// answer was truncated; it may have run.
	ResultBroken Result = "broken"
	// ResultMalformed: the answer was invalid or belonged to another request; it
	// may have run.
	ResultMalformed Result = "garbled"
	// ResultAborted: this node aborted the attempt.
	ResultAborted Result = "aborted"
)

// Results lists all results, so that each has a counter from the start.
func Results() []Result {
	return []Result{
		ResultComplete, ResultClosed, ResultErrored, ResultFull, ResultMisdirected, ResultRefused,
		ResultRelayRefused, ResultWithheld, ResultUnreachable, ResultBroken, ResultMalformed, ResultAborted,
	}
}

// NotRun reports whether the result proves that the upstream did not and will
// not run the request.
func (r Result) NotRun() bool {
	switch r {
	case ResultFull, ResultMisdirected, ResultRefused, ResultRelayRefused, ResultWithheld, ResultUnreachable:
		return true
	default:
		return false
	}
}

// MoveOutcome is the outcome of moving a running request.
type MoveOutcome string

// Outcomes of moves.
const (
	// MoveDone: the run has stopped and its KV cache is at the target.
	MoveDone MoveOutcome = "done"
	// MoveStopped: the run has stopped, but its KV cache is still at the
	// source.
	MoveStopped MoveOutcome = "stopped"
	// MoveRefused: the run continues, because the target has no capacity for its
	// KV cache.
	MoveRefused MoveOutcome = "refused"
	// MoveWithheld: the source asked for a pause before the call was written, so that the run
	// continues.
	MoveWithheld MoveOutcome = "withheld"
	// MoveAbsent: the source has no such run.
	MoveAbsent MoveOutcome = "absent"
	// MoveUnknown: no answer arrived; the run may have stopped.
	MoveUnknown MoveOutcome = "unknown"
)

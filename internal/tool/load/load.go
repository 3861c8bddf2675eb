// Package load generates an open-loop load on a running system and reports
// latencies and outcomes.
//
// # Usage
//
//	report := load.Run(ctx, load.Config{
//		Clients: clients, Clock: clock.System{}, Rate: 50, Duration: 10 * time.Second,
//		Mix: load.DefaultMix(), MaxInFlight: 1000,
//	})
package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/sourcegraph/conc"

	"monsoonlanding/internal/run/clock"
	"monsoonlanding/internal/standin/engine"
	"monsoonlanding/internal/standin/service"
	"monsoonlanding/internal/wire/callerhttp"
)

// Kind is one kind of request of a mix.
type Kind struct {
	Name    string
	Service string
	// Tokens is the number of tokens in an engine's answer; 0 for a plain
	// service.
	Tokens        int
	NonIdempotent bool
	Priority      int
	Timeout       time.Duration
	// Weight is the frequency of the kind, relative to the other kinds.
	Weight int
}

// DefaultMix returns four kinds that model the requests of the two co-operatives
// that the system serves.
func DefaultMix() []Kind {
	return []Kind{
		{Name: "draft", Service: "plans", Tokens: 200, Timeout: 30 * time.Second, Weight: 2},
		{Name: "question", Service: "questions", Tokens: 16, Priority: 5, Timeout: 10 * time.Second, Weight: 4},
		{Name: "booking", Service: "bookings", NonIdempotent: true, Priority: 3, Timeout: 10 * time.Second, Weight: 3},
		{Name: "tag", Service: "tags", Timeout: 10 * time.Second, Weight: 3},
	}
}

// MixOf returns the kinds of the default mix that have the given names.
func MixOf(names []string) []Kind {
	var mix []Kind
	for _, k := range DefaultMix() {
		if slices.Contains(names, k.Name) {
			mix = append(mix, k)
		}
	}
	return mix
}

// Config describes the load to generate.
type Config struct {
	// Clients send the requests in turn; each has the key of a team.
	Clients []*callerhttp.Client
	Clock   clock.Clock
	// Rate is in requests per second.
	Rate     float64
	Duration time.Duration
	Mix      []Kind
	Seed     uint64
	// MaxInFlight bounds the requests in flight. A request that would exceed it is
	// skipped and counted in Report.Skipped.
	MaxInFlight int
	// Verify compares the answers with those of the stand-ins and counts
	// differences as wrong; it requires the stand-ins as upstreams.
	Verify bool
}

const (
	// histogramMaxMicros bounds the recorded latencies, in microseconds; longer
	// ones are left out.
	histogramMaxMicros = int64(5 * time.Minute / time.Microsecond)
	// histogramDigits is the precision in significant digits.
	histogramDigits = 3
)

// Latency holds percentiles of a latency in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Outcomes counts the requests of one kind by their outcome.
type Outcomes struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	Accepted int `json:"accepted"`
	// Wrong counts answers that differ from the expected answer to the request.
	Wrong int `json:"wrong"`
	// Lost counts accepted requests without an answer.
	Lost    int            `json:"lost"`
	Refused map[string]int `json:"refused,omitempty"`
	// Errors counts requests that ended without an answer or a refusal.
	Errors    int `json:"errors"`
	Resumed   int `json:"resumed"`
	Restarted int `json:"restarted"`

	// FirstToken is the latency to the first token, or to the result of a plain
	// service.
	FirstToken    Latency `json:"first_token"`
	BetweenTokens Latency `json:"between_tokens"`

	first   *hdrhistogram.Histogram
	between *hdrhistogram.Histogram
}

// Report is the result of a run.
type Report struct {
	Seconds float64              `json:"seconds"`
	Skipped int                  `json:"skipped"`
	Kinds   map[string]*Outcomes `json:"kinds"`
	// Failures describes failed requests, at most maxFailures.
	Failures []string `json:"failures,omitempty"`
	// Bookings counts the non-idempotent requests sent.
	Bookings int `json:"bookings"`
}

// maxFailures bounds the failures described in a report.
const maxFailures = 10

// run is a load in progress.
type run struct {
	cfg    Config
	mu     sync.Mutex
	report Report
}

// Run sends requests at the configured rate for the configured duration and
// waits until all of them have ended.
func Run(ctx context.Context, cfg Config) Report {
	r := &run{cfg: cfg, report: Report{Kinds: make(map[string]*Outcomes)}}
	for _, k := range cfg.Mix {
		r.report.Kinds[k.Name] = &Outcomes{
			Refused: make(map[string]int),
			first:   hdrhistogram.New(1, histogramMaxMicros, histogramDigits),
			between: hdrhistogram.New(1, histogramMaxMicros, histogramDigits),
		}
	}
	started := cfg.Clock.Now()
	r.send(ctx, started)
	r.report.Seconds = cfg.Clock.Now().Sub(started).Seconds()
	for _, o := range r.report.Kinds {
		o.FirstToken = latency(o.first)
		o.BetweenTokens = latency(o.between)
	}
	return r.report
}

// send starts each request at its scheduled time, regardless of how long the
// others take.
func (r *run) send(ctx context.Context, started time.Time) {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, r.cfg.Seed))
	inFlight := make(chan struct{}, r.cfg.MaxInFlight)
	var group conc.WaitGroup
	defer group.Wait()
	interval := time.Duration(float64(time.Second) / r.cfg.Rate)
	for i := 0; ; i++ {
		due := started.Add(time.Duration(i) * interval)
		if due.Sub(started) >= r.cfg.Duration {
			return
		}
		if wait := due.Sub(r.cfg.Clock.Now()); wait > 0 && !r.cfg.Clock.Sleep(ctx, wait) {
			return
		}
		kind := pickKind(rng, r.cfg.Mix)
		client := r.cfg.Clients[i%len(r.cfg.Clients)]
		select {
		case inFlight <- struct{}{}:
			group.Go(func() {
				defer func() { <-inFlight }()
				r.sendOne(ctx, client, kind, i)
			})
		default:
			r.report.Skipped++
		}
	}
}

// pickKind returns a random kind, with probabilities proportional to the weights.
func pickKind(rng *rand.Rand, mix []Kind) Kind {
	total := 0
	for _, k := range mix {
		total += k.Weight
	}
	n := rng.IntN(total)
	for _, k := range mix {
		if n -= k.Weight; n < 0 {
			return k
		}
	}
	return mix[0]
}

func (r *run) sendOne(ctx context.Context, client *callerhttp.Client, kind Kind, i int) {
	body := fmt.Appendf(nil, `{"prompt": "%s %d of %s", "max_tokens": %d}`, kind.Name, i, uuid.NewString(), kind.Tokens)
	call := callerhttp.Call{
		Service: kind.Service, Key: uuid.NewString(), Body: body,
		Timeout: kind.Timeout, Priority: kind.Priority, NonIdempotent: kind.NonIdempotent,
	}
	result, err := client.Do(ctx, call, nil)
	problem := ""
	if err == nil && result.Refusal == nil && r.cfg.Verify {
		problem = verifyAnswer(kind, call, result)
	}
	r.record(kind, call, result, err, problem)
}

// verifyAnswer compares an answer with the one that the stand-ins give and
// returns a description of the first difference, or "" if there is none.
func verifyAnswer(kind Kind, call callerhttp.Call, result callerhttp.Result) string {
	if kind.Tokens == 0 {
		var c service.Confirmation
		if err := json.Unmarshal(result.Body, &c); err != nil || c.BodyHash != xxhash.Sum64(call.Body) {
			return "the confirmation is invalid or belongs to another request"
		}
		return ""
	}
	want := engine.Answer(call.Body)
	if len(want) != len(result.Tokens) {
		return fmt.Sprintf("got %d tokens, want %d", len(result.Tokens), len(want))
	}
	for i := range want {
		if want[i] != result.Tokens[i] {
			return fmt.Sprintf("token %d: got %q, want %q", i, result.Tokens[i], want[i])
		}
	}
	return ""
}

func (r *run) record(kind Kind, call callerhttp.Call, result callerhttp.Result, err error, problem string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.report.Kinds[kind.Name]
	o.Sent++
	o.Resumed += result.Resumed
	o.Restarted += result.Restarted
	if kind.NonIdempotent {
		r.report.Bookings++
	}
	if result.Accepted {
		o.Accepted++
	}
	switch {
	case err != nil:
		o.Errors++
		r.addUnanswered(o, result, fmt.Sprintf("%s %s: %v", kind.Name, call.Key, err))
	case result.Refusal != nil:
		o.Refused[string(result.Refusal.Reason)]++
		r.addUnanswered(o, result, fmt.Sprintf("%s %s: refused: %+v", kind.Name, call.Key, *result.Refusal))
	case problem != "":
		o.Wrong++
		r.addFailure(fmt.Sprintf("%s %s: %s", kind.Name, call.Key, problem))
	default:
		o.Answered++
		_ = o.first.RecordValue(max(result.FirstTokenLatency.Microseconds(), 1))
		for _, gap := range result.TokenIntervals {
			_ = o.between.RecordValue(max(gap.Microseconds(), 1))
		}
	}
}

// addUnanswered records a request that ended without an answer; it is lost if
// the system had accepted it.
func (r *run) addUnanswered(o *Outcomes, result callerhttp.Result, text string) {
	if result.Accepted {
		o.Lost++
	}
	r.addFailure(text)
}

func (r *run) addFailure(text string) {
	if len(r.report.Failures) < maxFailures {
		r.report.Failures = append(r.report.Failures, text)
	}
}

func latency(h *hdrhistogram.Histogram) Latency {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Latency{
		Count: h.TotalCount(),
		P50:   ms(h.ValueAtQuantile(50)),
		P95:   ms(h.ValueAtQuantile(95)),
		P99:   ms(h.ValueAtQuantile(99)),
		Max:   ms(h.Max()),
	}
}

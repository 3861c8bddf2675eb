// Package demo runs a complete system in one process, sends requests to its
// public API while nodes and upstreams are reclaimed, and checks the guarantees.
//
// # Usage
//
//	report, err := demo.Run(ctx, zerolog.Nop())
//	report.Print(os.Stdout)
package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"monsoonlanding/internal/run/clock"
	"monsoonlanding/internal/standin/engine"
	"monsoonlanding/internal/standin/service"
	"monsoonlanding/internal/tool/cluster"
	"monsoonlanding/internal/tool/load"
	"monsoonlanding/internal/wire/callerhttp"
)

const (
	nodeCount = 6
	rate      = 120 // requests per second
	duration  = 10 * time.Second
	// minRequests is the minimum number of requests of a valid run.
	minRequests = 1000
	// noticePeriod is the time from the notice of a reclaim to the reclaim.
	noticePeriod = 3 * time.Second
)

var (
	zones = []string{"zone-a", "zone-b", "zone-c", "zone-d"}
	teams = []string{"crew", "desk", "base", "audit", "yard"}
)

// Report is the result of a run.
type Report struct {
	load.Report
	// Repeated lists the bookings that ran more than once.
	Repeated []string `json:"repeated_bookings"`
	// RulesInForce reports whether the changed rules are in force on all
	// remaining nodes.
	RulesInForce bool `json:"rules_in_force"`
	// RulesSeconds is the time from the change until then.
	RulesSeconds float64  `json:"rules_seconds"`
	Events       []string `json:"events"`
	// ObjectReads counts the reads and lists of the object API.
	ObjectReads   uint64 `json:"object_reads"`
	ObjectWrites  uint64 `json:"object_writes"`
	ObjectWatches uint64 `json:"object_watches"`
}

// Run runs the demo.
func Run(ctx context.Context, log zerolog.Logger) (Report, error) {
	c, err := cluster.Start(cluster.Config{
		Nodes: nodeCount, Zones: zones, Teams: teams, Engines: 6, Services: 2,
		Engine:  engine.Config{Slots: 16, FirstTokenLatency: 20 * time.Millisecond, EventInterval: 5 * time.Millisecond},
		Service: service.Config{Slots: 32, Delay: 5 * time.Millisecond},
		Log:     log,
	})
	if err != nil {
		return Report{}, errors.Wrap(err, "start")
	}
	defer c.Close()
	var report Report
	var events conc.WaitGroup
	events.Go(func() { runEvents(ctx, c, &report) })
	outcome := load.Run(ctx, load.Config{
		Clients: clients(c), Clock: clock.System{}, Rate: rate, Duration: duration,
		Mix: load.DefaultMix(), Seed: 1, MaxInFlight: 500, Verify: true,
	})
	events.Wait()
	report.Report = outcome
	report.Repeated = c.Runs().Repeated()
	calls := c.Platform().Calls()
	report.ObjectReads, report.ObjectWrites, report.ObjectWatches = calls.Reads+calls.Lists, calls.Writes, calls.Watches
	return report, nil
}

func clients(c *cluster.Cluster) []*callerhttp.Client {
	var list []*callerhttp.Client
	for _, team := range teams {
		list = append(list, callerhttp.NewClient(c.CallerAddresses(), cluster.TeamKey(team), http.DefaultClient, clock.System{}))
	}
	return list
}

// event is a fault or a change that the run applies to the system.
type event struct {
	at   time.Duration
	text string
	do   func()
}

// runEvents reclaims a node and an upstream, stops a node and changes the rules,
// each at its time, and records the events in the report.
func runEvents(ctx context.Context, c *cluster.Cluster, report *Report) {
	events := []event{
		{1 * time.Second, "reclaim of node 1 announced", func() { c.Cloud().AnnounceReclaim("entry-1", time.Now().Add(noticePeriod)) }},
		{2 * time.Second, "reclaim of engine " + c.Engine(0).ID + " announced", func() {
			c.Cloud().AnnounceReclaim(c.Engine(0).ID, time.Now().Add(noticePeriod))
			c.Engine(0).Engine.SetFault(engine.FaultLeaving)
		}},
		{4 * time.Second, "node 1 reclaimed", func() { c.Node(1).Kill() }},
		{5 * time.Second, "engine " + c.Engine(0).ID + " reclaimed", func() { c.Engine(0).Close() }},
		{6 * time.Second, "planned stop of node 3", func() { c.Node(3).Stop() }},
		{7 * time.Second, "rules changed", func() { changeRules(ctx, c, report) }},
	}
	started := time.Now()
	for _, e := range events {
		if !(clock.System{}).Sleep(ctx, time.Until(started.Add(e.at))) {
			return
		}
		report.Events = append(report.Events, fmt.Sprintf("%4.1f s: %s", e.at.Seconds(), e.text))
		e.do()
	}
}

// remainingNodes holds the indexes of the nodes that are neither reclaimed nor
// stopped.
var remainingNodes = []int{0, 2, 4, 5}

// changeRules applies a second revision of the rules and waits until it is in
// force on the remaining nodes.
func changeRules(ctx context.Context, c *cluster.Cluster, report *Report) {
	// 7 s is the target for the time until changed rules are in force.
	ctx, cancel := context.WithTimeout(ctx, 7*time.Second)
	defer cancel()
	started := time.Now()
	applied, err := c.Operator(0).Apply(ctx, 1, cluster.Rules(teams, "the demo's change, L-2"), "second", "demo")
	if err != nil || applied.Revision != 2 {
		return
	}
	for _, i := range remainingNodes {
		for {
			rules, err := c.Operator(i).Rules(ctx)
			if err == nil && rules.Revision >= applied.Revision {
				break
			}
			if !(clock.System{}).Sleep(ctx, 5*time.Millisecond) {
				return
			}
		}
	}
	report.RulesInForce = true
	report.RulesSeconds = time.Since(started).Seconds()
}

// Problems lists the violated guarantees.
func (r Report) Problems() []string {
	var problems []string
	sent := 0
	for _, kind := range load.DefaultMix() {
		o := r.Kinds[kind.Name]
		sent += o.Sent
		if o.Lost > 0 {
			problems = append(problems, fmt.Sprintf("%d accepted requests of kind %s were not answered", o.Lost, kind.Name))
		}
		if o.Wrong > 0 {
			problems = append(problems, fmt.Sprintf("%d answers of kind %s were wrong", o.Wrong, kind.Name))
		}
		if o.Errors > 0 {
			problems = append(problems, fmt.Sprintf("%d requests of kind %s ended with an error, without an answer or a refusal", o.Errors, kind.Name))
		}
	}
	if sent < minRequests {
		problems = append(problems, fmt.Sprintf("only %d requests were sent", sent))
	}
	if len(r.Repeated) > 0 {
		problems = append(problems, fmt.Sprintf("%d bookings ran more than once", len(r.Repeated)))
	}
	if !r.RulesInForce {
		problems = append(problems, "the changed rules did not come into force on all remaining nodes")
	}
	return problems
}

// Print writes a summary.
func (r Report) Print(w io.Writer) {
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	p("%d nodes in %d availability zones, %.1f s", nodeCount, len(zones), r.Seconds)
	for _, e := range r.Events {
		p("  %s", e)
	}
	p("%-10s %6s %9s %6s %8s %9s %22s", "kind", "sent", "answered", "lost", "refused", "resumed", "first token p50/p95")
	for _, kind := range load.DefaultMix() {
		o := r.Kinds[kind.Name]
		refused := 0
		for _, n := range o.Refused {
			refused += n
		}
		p("%-10s %6d %9d %6d %8d %9d %11.1f /%6.1f ms", kind.Name, o.Sent, o.Answered, o.Lost, refused, o.Resumed, o.FirstToken.P50, o.FirstToken.P95)
	}
	p("bookings that ran more than once: %d; object calls: %d reads, %d writes, %d watches", len(r.Repeated), r.ObjectReads, r.ObjectWrites, r.ObjectWatches)
	p("changed rules in force on all remaining nodes after %.3f s", r.RulesSeconds)
	for _, f := range r.Failures {
		p("  %s", f)
	}
	problems := r.Problems()
	for _, problem := range problems {
		p("BROKEN: %s", problem)
	}
	if len(problems) == 0 {
		p("every accepted request was answered exactly once and completely")
	}
}

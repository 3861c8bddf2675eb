package gateway

import (
	"expvar"
	"sync/atomic"

	core "monsoonlanding/internal/core/gateway"
	"monsoonlanding/internal/run/metrics"
)

// counters holds an expvar map per core.Counter, with a count per label.
var counters = newCounters()

func newCounters() map[core.Counter]*expvar.Map {
	maps := make(map[core.Counter]*expvar.Map)
	for _, c := range []core.Counter{core.CountRefusal, core.CountRetry, core.CountResult, core.CountDuty, core.CountMove, core.CountAnswer, core.CountExtra, core.CountLoad, core.CountQuota, core.CountCold, core.CountMissing, core.CountChange} {
		maps[c] = expvar.NewMap(string(c))
	}
	for _, reason := range core.Reasons() {
		maps[core.CountRefusal].Add(string(reason), 0)
	}
	for _, cause := range core.RetryCauses() {
		maps[core.CountRetry].Add(cause, 0)
	}
	for _, result := range core.Results() {
		maps[core.CountResult].Add(string(result), 0)
	}
	for _, framing := range core.Framings() {
		maps[core.CountAnswer].Add(string(framing), 0)
	}
	maps[core.CountExtra].Add(core.ExtraSkipped, 0)
	for _, label := range core.LoadLabels() {
		maps[core.CountLoad].Add(label, 0)
	}
	for _, label := range core.ChangeLabels() {
		maps[core.CountChange].Add(label, 0)
	}
	return maps
}

func count(e core.Count) { counters[e.Counter].Add(e.Label, 1) }

// storeCalls counts the calls to the platform's store by name.
var storeCalls = expvar.NewMap("gateway_store_calls")

// CountStoreCall counts a call to the platform's store.
func CountStoreCall(call string) { storeCalls.Add(call, 1) }

// droppedLines counts the log lines dropped because the writer was too slow.
var droppedLines = expvar.NewInt("gateway_log_lines_dropped")

// CountDroppedLines counts dropped log lines.
func CountDroppedLines(lines int) { droppedLines.Add(int64(lines)) }

// unloggedRequests counts the successful requests whose log lines were dropped
// by sampling.
var unloggedRequests = expvar.NewInt("gateway_requests_unlogged")

// latencies holds the histograms per timing and route.
var latencies = newLatencies()

func newLatencies() map[core.Timing]*metrics.Latencies {
	all := make(map[core.Timing]*metrics.Latencies)
	for _, timing := range []core.Timing{core.TimeWaited, core.TimeBegan, core.TimeComplete} {
		all[timing] = metrics.NewLatencies()
		expvar.Publish(string(timing), all[timing])
	}
	return all
}

// state publishes the node's current state as gateway_state.
var state = newState()

// liveState reads the state of the node that runs in this process; runner is
// nil until it runs.
type liveState struct{ runner atomic.Pointer[Runner] }

func newState() *liveState {
	s := &liveState{}
	expvar.Publish("gateway_state", expvar.Func(s.read))
	return s
}

func (s *liveState) read() any {
	r := s.runner.Load()
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.State()
}

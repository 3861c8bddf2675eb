package main

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// The sites' disruption garble, how extra late: 0.6 of the replicas spoil 0.03 of their
	// answers for 5 s. It comes extraEpisodes times.
	faultyShare     = 0.6
	episodeTime     = 5 * time.Second
	episodeInterval = 8 * time.Second
	extraEpisodes   = 4
	extraClients    = 30
	extraReplicas   = 5
	readDeadline    = 1500 * time.Millisecond
)

func init() { cases["extra"] = runExtra }

// runExtra lets replicas send additional bytes after some of their answers, and reports whether a
// client got a success where the replica had answered with a failure, or a failure with a seal and
// another status than the replica gave.
func runExtra(r *rig) (bool, error) {
	r.store.operate("config", "main", configuration(readDeadline))
	replicas, err := r.startFaultyReplicas("desk", extraReplicas)
	if err != nil {
		return false, err
	}
	if err := r.startNodes(3); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var all []sent
	var group sync.WaitGroup
	done := make(chan struct{})
	for range extraClients {
		group.Go(func() {
			client := newClient()
			for open(done) {
				prefix := []string{bookPrefix, readPrefix}[rand.IntN(2)]
				s := r.send(client, r.nodes[rand.IntN(len(r.nodes))], prefix, readDeadline)
				mu.Lock()
				all = append(all, s)
				mu.Unlock()
				time.Sleep(rand.N(100 * time.Millisecond))
			}
		})
	}
	for range extraEpisodes {
		time.Sleep(episodeInterval - episodeTime)
		for _, p := range replicas[:int(faultyShare*extraReplicas)] {
			p.setSpoils(r.trouble != troubleNone)
		}
		time.Sleep(episodeTime)
		for _, p := range replicas {
			p.setSpoils(false)
		}
	}
	time.Sleep(time.Second)
	close(done)
	group.Wait()
	return r.countMixed(all, replicas) > 0, nil
}

// countMixed counts the answers of clients with another status than the replicas gave.
func (r *rig) countMixed(all []sent, replicas []*faultyReplica) int {
	strays, full, successes, failures, refused := 0, 0, 0, 0, 0
	for _, p := range replicas {
		strays += p.strays
	}
	for _, s := range all {
		var statuses []int
		ran := false
		for _, p := range replicas {
			list, ranThere := p.statusesOf(s.id)
			statuses, ran = append(statuses, list...), ran || ranThere
		}
		if slices.Contains(statuses, http.StatusServiceUnavailable) {
			full++
		}
		if slices.Contains(statuses, s.status) || s.broken || s.status == 0 {
			continue
		}
		switch {
		case s.status/100 == 2:
			successes++
		case s.sealed:
			failures++
		default:
			// It is the system's own answer.
			continue
		}
		promise := ""
		if s.prefix == bookPrefix && ran && s.status == http.StatusServiceUnavailable {
			refused++
			promise = "; a booking that has run is said not to have run (REFUSED)"
		}
		r.record("broken: %s%s got %d from %s, sealed %t, body %q; the replicas answered it with %v%s", s.prefix, s.id, s.status, s.node, s.sealed, s.body, statuses, promise)
	}
	r.record("requests: %d, of which replicas were full for: %d, follow-ups: %d", len(all), full, strays)
	r.record("successes that no replica gave: %d, sealed failures that none gave: %d, of these bookings that have run, with 503: %d", successes, failures, refused)
	return successes + failures
}

func open(done <-chan struct{}) bool {
	select {
	case <-done:
		return false
	default:
		return true
	}
}

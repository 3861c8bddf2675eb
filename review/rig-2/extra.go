package main

import (
	"math/rand/v2"
	"net/http"
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
	extraClients    = 12
	extraReplicas   = 5
	readDeadline    = 1500 * time.Millisecond
)

func init() { cases["extra"] = runExtra }

// runExtra lets replicas send additional bytes after some of their answers, and reports whether a
// client got a success where the replica had answered with a failure.
func runExtra(r *rig) (bool, error) {
	r.store.operate("config", "main", configuration("safe", readDeadline))
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
				s := r.send(client, r.nodes[rand.IntN(len(r.nodes))], readDeadline)
				mu.Lock()
				all = append(all, s)
				mu.Unlock()
				time.Sleep(rand.N(60 * time.Millisecond))
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

// countMixed counts the successes of clients that no replica gave.
func (r *rig) countMixed(all []sent, replicas []*faultyReplica) int {
	mixed, strays, served := 0, 0, 0
	for _, p := range replicas {
		strays += p.strays
	}
	for _, s := range all {
		if s.status/100 != 2 {
			continue
		}
		served++
		given := false
		var statuses []int
		for _, p := range replicas {
			statuses = append(statuses, p.statusesOf(s.id)...)
		}
		for _, status := range statuses {
			given = given || status == http.StatusOK
		}
		if !given {
			mixed++
			r.record("broken: %s got %d from %s, sealed %t, body %q; the replicas answered it with %v", s.id, s.status, s.node, s.sealed, s.body, statuses)
		}
	}
	r.record("requests: %d, successes: %d, follow-ups: %d, successes that no replica gave: %d", len(all), served, strays, mixed)
	return mixed
}

package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// stopWork is the time that a replica works on a request, stopDeadline the client's.
	stopWork     = 2 * time.Second
	stopDeadline = 5 * time.Second
	// stopClients is the number of clients of the node that is stopped.
	stopClients = 8
	// secondStop is the time between the two SIGTERMs.
	secondStop = time.Second
	// lostTime is the bound lost_ms of the sites.
	lostTime = 200 * time.Millisecond
)

func init() { cases["stop"] = runStop }

// runStop sends a node that is being stopped SIGTERM once more, and reports whether requests that it
// had read ended without an answer. Without the disruption it is sent one SIGTERM.
func runStop(r *rig) (bool, error) {
	r.store.operate("config", "main", configuration(stopDeadline))
	ran, err := r.startReplicas("desk", 4, stopWork)
	if err != nil {
		return false, err
	}
	if err := r.startNodes(3); err != nil {
		return false, err
	}
	stopped := r.nodes[0]
	var mu sync.Mutex
	var all []sent
	var group sync.WaitGroup
	done := make(chan struct{})
	for i := range stopClients {
		group.Go(func() {
			time.Sleep(time.Duration(i) * stopWork / stopClients)
			client := newClient()
			for open(done) {
				s := r.send(client, stopped, bookPrefix, stopDeadline)
				mu.Lock()
				all = append(all, s)
				mu.Unlock()
				if s.status != http.StatusOK {
					return
				}
			}
		})
	}
	time.Sleep(5 * time.Second)
	signalled := time.Now()
	stopped.signal(syscall.SIGTERM)
	if r.trouble != troubleNone {
		time.Sleep(secondStop)
		stopped.signal(syscall.SIGTERM)
	}
	<-stopped.ended
	r.record("node %s ended %.2f s after its first SIGTERM, grace is %d s", stopped.name, time.Since(signalled).Seconds(), graceSeconds)
	close(done)
	group.Wait()
	return r.countLost(all, ran, signalled) > 0, nil
}

func open(done <-chan struct{}) bool {
	select {
	case <-done:
		return false
	default:
		return true
	}
}

// countLost counts the requests that were passed on to a sound replica, or sent whole for longer than
// lostTime, and whose connection ended without a complete answer around the SIGTERM, with more
// than three tenths of their time left.
func (r *rig) countLost(all []sent, ran *runs, signalled time.Time) int {
	lost := 0
	end := signalled.Add((graceSeconds + 1) * time.Second)
	for _, s := range all {
		if !s.broken || s.written.IsZero() || s.ended.Before(signalled) || s.ended.After(end) {
			continue
		}
		list := ran.of(s.id)
		if len(list) == 0 && s.ended.Sub(s.written) <= lostTime {
			continue
		}
		if s.ended.Sub(s.written) >= stopDeadline*7/10 {
			continue
		}
		lost++
		r.record("broken: %s was sent to %s, passed on to %d replicas and ended without an answer after %.2f s of %.0f s: %s",
			s.id, s.node, len(list), s.ended.Sub(s.written).Seconds(), stopDeadline.Seconds(), s.cause)
	}
	r.record("requests to the stopped node: %d, ended without an answer: %d", len(all), lost)
	return lost
}

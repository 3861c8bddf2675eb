package main

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

const (
	// copyAge is the age of the copy from which the store comes back, copyInterval the interval
	// between two copies.
	copyAge      = 3 * time.Second
	copyInterval = 100 * time.Millisecond
	// awayTime is the time for which the store is away in the drill.
	awayTime = 500 * time.Millisecond
	// restartDelay is the time after which killed processes are started again.
	restartDelay = 500 * time.Millisecond
	// reportsBefore is the number of reports that the platform accepts before the drill.
	reportsBefore = 3
	// watchTime is the time for which reports are collected after the drill.
	watchTime = 25 * time.Second
)

// Parts of the disruption, for runs with one of them.
const (
	troubleRestore = "restore"
	troubleKill    = "kill"
)

func init() { cases["drill"] = runDrill }

// runDrill restores the store from a copy that is some seconds old and kills all nodes at the same
// time, and reports whether the platform has accepted two usage reports for one window with
// different counts.
func runDrill(r *rig) (bool, error) {
	r.store.operate("config", "main", configuration(4*time.Second))
	if _, err := r.startReplicas("desk", 4, 20*time.Millisecond); err != nil {
		return false, err
	}
	if err := r.startNodes(3); err != nil {
		return false, err
	}
	done := make(chan struct{})
	defer close(done)
	for range 4 {
		go r.press(done)
	}
	copies := r.awaitReports(reportsBefore)
	if copies == nil {
		return false, fmt.Errorf("the platform got fewer than %d usage reports", reportsBefore)
	}
	r.disrupt(copies)
	time.Sleep(watchTime)
	return r.hasDoubleReport(), nil
}

// timedCopy is a copy of the store.
type timedCopy struct {
	at    time.Time
	state state
}

// awaitReports waits until the platform has accepted a number of reports. It returns the copies
// of the store of the last seconds, nil if the reports don't come.
func (r *rig) awaitReports(count int) []timedCopy {
	var copies []timedCopy
	for begin := time.Now(); time.Since(begin) < 45*time.Second; time.Sleep(copyInterval) {
		copies = append(copies, timedCopy{time.Now(), r.store.copy()})
		if len(r.cloud.reports()) >= count {
			return copies
		}
	}
	return nil
}

// disrupt kills all nodes and restores the store at the same time, and starts the nodes again.
func (r *rig) disrupt(copies []timedCopy) {
	if r.trouble == troubleNone {
		return
	}
	restored := make(chan struct{})
	go func() {
		defer close(restored)
		if r.trouble != troubleKill {
			r.store.restore(copyBefore(copies, time.Now().Add(-copyAge)), awayTime)
		}
	}()
	if r.trouble != troubleRestore {
		for _, n := range r.nodes {
			n.signal(syscall.SIGKILL)
		}
		time.Sleep(restartDelay)
		for _, n := range r.nodes {
			<-n.ended
			if err := n.start(); err != nil {
				r.record("node %s: %v", n.name, err)
			}
		}
	}
	<-restored
}

// copyBefore returns the latest copy that is as old as a time.
func copyBefore(copies []timedCopy, at time.Time) state {
	latest := copies[0]
	for _, c := range copies {
		if !c.at.After(at) {
			latest = c
		}
	}
	return latest.state
}

// hasDoubleReport reports whether the platform has accepted two reports with different counts for
// one window.
func (r *rig) hasDoubleReport() bool {
	first := make(map[int64]usageReport)
	broken := false
	for _, report := range r.cloud.reports() {
		before, known := first[report.window]
		if !known {
			first[report.window] = report
			continue
		}
		if before.counts != report.counts {
			broken = true
			r.record("broken: window %d was reported as %s by %s with token %s, and as %s by %s with token %s",
				report.window, before.counts, before.holder, before.token, report.counts, report.holder, report.token)
		}
	}
	return broken
}

// press sends requests to the nodes that the directory names until done is closed.
func (r *rig) press(done <-chan struct{}) {
	client := newClient()
	var named []*node
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-time.After(150 * time.Millisecond):
		}
		if i%10 == 0 || len(named) == 0 {
			if list := r.resolve(client, r.nodes[rand.IntN(len(r.nodes))]); len(list) > 0 {
				named = list
			}
		}
		if len(named) > 0 {
			r.send(client, named[rand.IntN(len(named))], bookPrefix, 1500*time.Millisecond)
		}
	}
}

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// replicasPerService and slots are those of the site's plain service, queueLength is its queue.
	replicasPerService = 4
	slots              = 6
	queueLength        = 24
	// work is how long a request runs on the mean.
	work = 600 * time.Millisecond
	// errorShare is the share of requests that run and end with a 500 of the replica's own.
	errorShare = 0.14
	// playLength is how long clients send.
	playLength = 105 * time.Second
	// Each stormEvery there is a change of the configuration each stormGap for stormFor.
	stormFor   = 2 * time.Second
	stormGap   = 80 * time.Millisecond
	stormEvery = 3 * time.Second
	// The rate of requests is by turns lowRate and highRate times what the replicas can do.
	lowRate  = 1.0
	highRate = 1.2
	// deadline is the clients'.
	deadline = 5 * time.Second
)

// storm plays changes of the configuration in quick succession while plain services are busy. The
// changes concern a route that no client uses.
func storm(r *rig) (int, error) {
	born := time.Now().UnixMilli()
	for i := range len(services) * replicasPerService {
		if err := r.startReplica(fmt.Sprintf("i-%d", i+1), services[i%len(services)], born); err != nil {
			return 2, err
		}
	}
	version := 1
	r.store.put("config", "main", config(version))
	if err := r.startNodes(6); err != nil {
		return 2, err
	}
	if err := r.awaitReady(); err != nil {
		return 2, err
	}
	begin := time.Now()
	go func() {
		for r.trouble && time.Since(begin) < playLength {
			time.Sleep(stormEvery - stormFor)
			for at := time.Now(); time.Since(at) < stormFor; time.Sleep(stormGap) {
				version++
				r.record("configuration %d acknowledged at revision %d", version, r.store.put("config", "main", config(version)))
			}
		}
	}()
	r.sendWrites(begin)
	time.Sleep(time.Second)
	return r.judge(), nil
}

// startReplica starts a replica, which registers itself in the store and writes there each 1.2 s.
func (r *rig) startReplica(id, service string, born int64) error {
	p := &replica{rig: r, id: id, running: make(chan struct{}, slots)}
	address, err := r.serve(p)
	if err != nil {
		return err
	}
	go func() {
		for seq := 0; ; seq++ {
			r.store.put("servers", id, map[string]any{
				"service": service, "addr": address, "zone": "z-a", "version": "v1", "slots": slots, "state": "ready", "seq": seq, "born": born,
			})
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return nil
}

// sendWrites sends requests that may run once, for playLength.
func (r *rig) sendWrites(begin time.Time) {
	client := &http.Client{Timeout: deadline + 500*time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	perSecond := float64(len(services)*replicasPerService*slots) / work.Seconds()
	var group sync.WaitGroup
	defer group.Wait()
	for n := 0; time.Since(begin) < playLength; n++ {
		rate := perSecond * lowRate
		if int(time.Since(begin).Seconds())%4 < 2 {
			rate = perSecond * highRate
		}
		time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
		group.Go(func() { r.write(client, n, "key-"+tenants[rand.IntN(len(tenants))]) })
	}
}

// write sends a request that may run once, and once more after a promise that it has not run.
func (r *rig) write(client *http.Client, n int, key string) {
	begin := time.Now()
	for try := range 2 {
		id := fmt.Sprintf("w%06d-%d", n, try)
		left := deadline - time.Since(begin)
		if left <= 0 {
			return
		}
		status, after := r.send(client, id, "/"+services[n%len(services)]+"/"+strconv.Itoa(n), key, left)
		r.mu.Lock()
		r.statuses[strconv.Itoa(status)]++
		if status == 503 || status == 429 || status == 408 || status == 421 {
			r.notRun[id] = status
		}
		r.mu.Unlock()
		if status != 503 && status != 429 {
			return
		}
		seconds, _ := strconv.ParseFloat(after, 64)
		wait := time.Duration(seconds * float64(time.Second))
		if wait > (deadline-time.Since(begin))/3 {
			return
		}
		time.Sleep(wait)
	}
}

// judge applies TWICE and REFUSED to the requests that may run once.
func (r *rig) judge() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	twice, refused := 0, 0
	for id, n := range r.runs {
		if n > 1 {
			twice++
			fmt.Println("TWICE", id, r.history[id])
		}
		if status := r.notRun[id]; status != 0 {
			refused++
			fmt.Println("REFUSED", id, status, r.history[id])
		}
	}
	fmt.Println("answers:", r.statuses, "requests that ran:", len(r.runs), "ran twice:", twice, "refused though run:", refused)
	switch {
	case twice+refused > 0:
		return 1
	case r.statuses["200"] == 0:
		return 2
	default:
		return 0
	}
}

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// plainConfig is a configuration with one plain service and one unsafe route.
func plainConfig() map[string]any {
	return map[string]any{
		"version": 2,
		"routes": []any{map[string]any{
			"name": "signoff-write", "hostname": "ficu95.example", "path_prefix": "/puxa403/", "type": "unsafe",
			"timeout_ms": 800, "goal_ms": 300, "priority": 2, "service": "registre-app", "attempts": 1, "public": false,
			"sticky": false, "can_resume": false,
		}},
		"services": []any{map[string]any{"name": "registre-app", "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{
			"name": "hule930", "api_keys": []any{"i9n73hh2b9wu3fexd9dn"}, "priority": 1, "unit": "tokens", "plain_tokens": 200,
			"rate_per_s": 1000000, "burst": 1000000,
		}},
	}
}

const (
	twiceNodes    = 3
	twiceReplicas = 4
	// twiceSlots and twiceQueue are the requests that a replica runs at once, and those that wait.
	twiceSlots = 4
	twiceQueue = 2
	// twiceClients keep as many requests under way as the replicas bear, and a few more.
	twiceClients = 32
	twiceFor     = 40 * time.Second
	// garbled replicas send copyShare thousandths of their answers twice, garbleFor in each
	// garbleEvery.
	garbled     = 2
	copyShare   = 30
	garbleFor   = 5 * time.Second
	garbleEvery = 7 * time.Second
)

// caseTwice lets half of the replicas send a few of their answers a second time, late.
func caseTwice() verdict {
	l := newLedger()
	var replicas []*replica
	for i := range twiceReplicas {
		r := newReplica(fmt.Sprintf("i-7f3a91c%d", i), "registre-app", fmt.Sprintf("zone-%c", 'a'+i%3), twiceSlots, twiceQueue, l)
		r.work = func() time.Duration { return time.Duration(30+rand.IntN(60)) * time.Millisecond }
		replicas = append(replicas, r)
	}
	s := startSystem(twiceNodes, plainConfig(), replicas)
	end := time.Now().Add(twiceFor)
	if trouble {
		go func() {
			for time.Now().Before(end) {
				for _, r := range replicas[:garbled] {
					r.copies.Store(copyShare)
				}
				note("garble begins at %d of %d replicas", garbled, twiceReplicas)
				time.Sleep(garbleFor)
				for _, r := range replicas {
					r.copies.Store(0)
				}
				time.Sleep(garbleEvery - garbleFor)
			}
		}()
	}
	var mu sync.Mutex
	var replies []reply
	var group sync.WaitGroup
	for i := range twiceClients {
		group.Go(func() {
			c := newClient("i9n73hh2b9wu3fexd9dn")
			for n := i; time.Now().Before(end); n++ {
				rp := c.post(s.nodes[i%twiceNodes].front, "ficu95.example", "/puxa403/2f", 1500*time.Millisecond, "entry", nil)
				mu.Lock()
				replies = append(replies, rp)
				mu.Unlock()
				if rp.status != 200 {
					time.Sleep(min(max(rp.retry, 100*time.Millisecond), 500*time.Millisecond))
				}
			}
		})
	}
	group.Wait()
	time.Sleep(time.Second)
	v := verdict{rule: "TWICE"}
	counts := map[int]int{}
	for _, rp := range replies {
		counts[rp.status]++
		runs := l.of(rp.id)
		if len(runs) > 1 {
			v.breaches = append(v.breaches, fmt.Sprintf("unsafe request %s, answered %d, ran %d times: at %s and %s", rp.id, rp.status, len(runs), runs[0].replica, runs[1].replica))
		}
		if len(runs) > 0 && (rp.status == 503 || rp.status == 429) {
			v.breaches = append(v.breaches, fmt.Sprintf("(REFUSED) unsafe request %s, answered %d, ran at %s", rp.id, rp.status, runs[0].replica))
		}
	}
	note("%d requests, by status: %v", len(replies), counts)
	fmt.Printf("%d requests, by status: %v\n", len(replies), counts)
	return v
}

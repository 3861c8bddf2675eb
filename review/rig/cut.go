package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	cutNodes    = 3
	cutReplicas = 4
	cutSlots    = 4
	// cutClients keep all slots of the replicas taken.
	cutClients = 24
	// Each stream has cutEvents events, one each cutGap.
	cutEvents = 60
	cutGap    = 120 * time.Millisecond
	// In each of cutRounds, a replica is down for cutDown, and a key is taken away cutRevokeAfter later.
	cutRounds      = 4
	cutRound       = 14 * time.Second
	cutDown        = 4200 * time.Millisecond
	cutRevokeAfter = 200 * time.Millisecond

	keptKey    = "i9n73hh2b9wu3fexd9dn"
	revokedKey = "n2ctnfzs989anu6wsjnb"
)

// streamConfig is a configuration with one service of engines and one route of streams that may
// be resumed.
func streamConfig(version int, keys ...string) map[string]any {
	list := []any{}
	for _, k := range keys {
		list = append(list, k)
	}
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "debrief-ask", "hostname": "ficu95.example", "path_prefix": "/pufi791/", "type": "streaming",
			"timeout_ms": 15000, "goal_ms": 500, "priority": 0, "service": "redacteur", "attempts": 2, "public": false,
			"sticky": true, "can_resume": true, "gap_aim_ms": 400,
		}},
		"services": []any{map[string]any{
			"name": "redacteur", "health_path": "/healthz", "max_conns": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": cutSlots, "kv_tokens": 701595, "kv_bytes": 163840, "link_mbps": 370000.0, "moves": false, "backups": false,
				"stride": 5, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
			},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{
			"name": "hule930", "api_keys": list, "priority": 1, "unit": "tokens", "plain_tokens": 200,
			"rate_per_s": 1000000, "burst": 1000000,
		}},
	}
}

func newEngine(id string, zone int, l *ledger) *replica {
	r := newReplica(id, "redacteur", fmt.Sprintf("zone-%c", 'a'+zone%3), cutSlots, 2, l)
	r.events, r.gap = cutEvents, cutGap
	return r
}

// streamProblem returns what is wrong with the body of a stream that looks complete, empty if
// nothing is.
func streamProblem(id, body string) string {
	var whole strings.Builder
	for n := 1; n <= cutEvents; n++ {
		fmt.Fprintf(&whole, "id: %d\ndata: %s %d of %d\n\n", n, id, n, cutEvents)
	}
	if body == whole.String() {
		return ""
	}
	common := 0
	for common < len(body) && common < whole.Len() && body[common] == whole.String()[common] {
		common++
	}
	return fmt.Sprintf("%d of %d events, then %q", strings.Count(body[:common], "\n\n"), cutEvents, body[common:])
}

// caseCut crashes a replica and takes away a key while streams wait to be resumed.
func caseCut() verdict {
	l := newLedger()
	var replicas []*replica
	for i := range cutReplicas {
		replicas = append(replicas, newEngine(fmt.Sprintf("i-7f3a91c%d", i), i, l))
	}
	s := startSystem(cutNodes, streamConfig(2, keptKey, revokedKey), replicas)
	end := time.Now().Add(cutRounds*cutRound + 2*time.Second)
	var mu sync.Mutex
	v := verdict{rule: "ORDER"}
	counts := map[string]int{}
	var group sync.WaitGroup
	for i := range cutClients {
		key := keptKey
		if i%2 == 1 {
			key = revokedKey
		}
		group.Go(func() {
			c := newClient(key)
			for n := 0; time.Now().Before(end); n++ {
				rp := c.post(s.nodes[i%cutNodes].front, "ficu95.example", "/pufi791/2f", 15*time.Second, "question", map[string]string{
					"Model": "m", "Token-Count": "628,300", "Prompt-Prefix": fmt.Sprintf("5c1e07a2:119,%x:509", i*1000+n),
				})
				mu.Lock()
				result := fmt.Sprintf("status %d, complete %t", rp.status, rp.err == nil)
				counts[result]++
				if rp.status == 200 && rp.err == nil {
					if problem := streamProblem(rp.id, rp.body); problem != "" {
						v.breaches = append(v.breaches, fmt.Sprintf("stream %s ended as complete after %s", rp.id, problem))
					}
				}
				mu.Unlock()
				if rp.status != 200 {
					time.Sleep(min(max(rp.retry, 200*time.Millisecond), time.Second))
				}
			}
		})
	}
	version := 2
	for round := range cutRounds {
		time.Sleep(8 * time.Second)
		if trouble {
			victim := replicas[round%cutReplicas]
			victim.crash()
			time.Sleep(cutRevokeAfter)
			version += 5
			s.store.write("config", "main", streamConfig(version, keptKey))
			note("version %d acknowledged, without a key", version)
			time.Sleep(cutDown - cutRevokeAfter)
			s.store.remove("servers", victim.id)
			replicas[round%cutReplicas] = newEngine(fmt.Sprintf("i-8a04%04d", round), round, l)
			replicas[round%cutReplicas].register(s.store)
			version += 3
			s.store.write("config", "main", streamConfig(version, keptKey, revokedKey))
			note("version %d acknowledged, with both keys; replica back", version)
		} else {
			time.Sleep(cutDown)
		}
		time.Sleep(cutRound - cutDown - 8*time.Second)
	}
	group.Wait()
	note("streams: %v", counts)
	fmt.Printf("streams: %v\n", counts)
	return v
}

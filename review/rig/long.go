package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	longNodes    = 3
	longReplicas = 7
	longClients  = 12
	longPieces   = 100
	// A whole answer takes longPieces times longGap; a slow replica takes longSlow times as long, for
	// longSlowFor.
	longGap     = 2 * time.Millisecond
	longSlow    = 7.5
	longSlowFor = 6500 * time.Millisecond
	longFor     = 18 * time.Second
)

// caseLong slows one of seven replicas down while they send long answers.
func caseLong() verdict {
	l := newLedger()
	var replicas []*replica
	for i := range longReplicas {
		r := newReplica(fmt.Sprintf("i-7f3a91c%d", i), "registre-app", fmt.Sprintf("zone-%c", 'a'+i%3), 6, 4, l)
		r.work = func() time.Duration { return 20 * time.Millisecond }
		r.pieces = longPieces
		r.pieceGap.Store(int64(longGap))
		replicas = append(replicas, r)
	}
	config := plainConfig()
	route := config["routes"].([]any)[0].(map[string]any)
	route["name"], route["type"], route["attempts"] = "record-read", "safe", 2
	s := startSystem(longNodes, config, replicas)
	end := time.Now().Add(longFor)
	if trouble {
		go func() {
			time.Sleep(4 * time.Second)
			note("replica %s is slow", replicas[0].id)
			replicas[0].pieceGap.Store(int64(longSlow * float64(longGap)))
			time.Sleep(longSlowFor)
			replicas[0].pieceGap.Store(int64(longGap))
			note("replica %s is as usual", replicas[0].id)
		}()
	}
	var mu sync.Mutex
	v := verdict{rule: "MIXED"}
	counts := map[string]int{}
	var group sync.WaitGroup
	for i := range longClients {
		group.Go(func() {
			c := newClient("i9n73hh2b9wu3fexd9dn")
			for time.Now().Before(end) {
				rp := c.post(s.nodes[i%longNodes].front, "ficu95.example", "/puxa403/2f", 1500*time.Millisecond, "", nil)
				mu.Lock()
				counts[fmt.Sprintf("status %d, complete %t", rp.status, rp.err == nil)]++
				if rp.status == 200 && rp.err == nil {
					if problem := longProblem(rp); problem != "" {
						v.breaches = append(v.breaches, problem)
					}
				}
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	group.Wait()
	note("answers: %v", counts)
	fmt.Printf("answers: %v\n", counts)
	return v
}

// longProblem returns what is wrong with a long answer that looks complete, empty if nothing is.
func longProblem(rp reply) string {
	var whole strings.Builder
	for n := range longPieces {
		whole.WriteString(longPiece(rp.id, n))
	}
	if rp.body == whole.String() {
		return ""
	}
	common := 0
	for common < len(rp.body) && common < whole.Len() && rp.body[common] == whole.String()[common] {
		common++
	}
	return fmt.Sprintf("request %s got a complete 200 with seal %s and %d of %d bytes of the answer, then %q", rp.id, rp.seal, common, whole.Len(), rp.body[common:])
}

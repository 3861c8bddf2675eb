package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// replica stands in for a replica of a plain service. It runs slots requests at once and queues
// queueLength more; others are rejected with Not-Run.
type replica struct {
	rig     *rig
	id      string
	running chan struct{}

	mu sync.Mutex
	// held counts the requests that run or wait.
	held int
}

func (p *replica) enter() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held >= slots+queueLength {
		return false
	}
	p.held++
	return true
}

func (p *replica) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held--
}

func (p *replica) load() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	running := min(p.held, slots)
	return fmt.Sprintf("%d,%d,%d", running, p.held-running, slots)
}

func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Replica-Load", p.load())
	if expected := r.Header.Get("Expect-Replica"); expected != "" && expected != p.id {
		w.Header().Set("Replica-Id", p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/healthz") {
		w.Header().Set("Replica-Id", p.id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !p.enter() {
		p.rig.saw(id, "rejected by "+p.id)
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer p.leave()
	select {
	case p.running <- struct{}{}:
	case <-r.Context().Done():
		p.rig.saw(id, "left the queue of "+p.id)
		return
	}
	defer func() { <-p.running }()
	p.rig.ran(id, p.id)
	time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(work)))
	w.Header().Set("Replica-Load", p.load())
	w.Header().Set("Replica-Seal", p.id+"."+id)
	if rand.Float64() < errorShare {
		p.rig.saw(id, "500 by "+p.id)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = fmt.Fprintf(w, "done %s %d", id, len(body))
}

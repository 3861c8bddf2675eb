package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// beat is the interval at which a replica writes its entry.
	beat = 1200 * time.Millisecond
	// replicaSlots is the number of requests that a replica runs at the same time.
	replicaSlots = 16
)

// run is what a replica has done for a request.
type run struct {
	// replica is the replica's ID.
	replica string
	began   time.Time
	// answered is set once the answer was written, dropped if the connection closed before.
	answered, dropped bool
}

// runs holds the runs of all replicas by the request's ID.
type runs struct {
	mu   sync.Mutex
	byID map[string][]*run
}

func (r *runs) add(id, replica string) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	added := &run{replica: replica, began: time.Now()}
	r.byID[id] = append(r.byID[id], added)
	return added
}

func (r *runs) of(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []run
	for _, one := range r.byID[id] {
		list = append(list, *one)
	}
	return list
}

// replica stands in for a replica of a plain service.
type replica struct {
	id, service, address, zone string
	work                       time.Duration
	record                     func(string, ...any)
	runs                       *runs
	// slots is the number that its entry names, replicaSlots if it is 0.
	slots int

	mu      sync.Mutex
	running int
}

// startReplicas starts replicas that register themselves in the store until the rig ends.
func (r *rig) startReplicas(service string, count int, work time.Duration) (*runs, error) {
	shared := &runs{byID: make(map[string][]*run)}
	for i := range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		one := &replica{
			id: fmt.Sprintf("i-%s-%d", service, i+1), service: service, address: l.Addr().String(),
			zone: fmt.Sprintf("zone-%c", 'a'+i%3), work: work, record: r.record, runs: shared,
		}
		go func() { _ = http.Serve(l, one) }()
		go one.register(r.store)
	}
	return shared, nil
}

func (p *replica) register(s *store) {
	born := time.Now().UnixMilli()
	slots := p.slots
	if slots == 0 {
		slots = replicaSlots
	}
	for seq := 1; ; seq++ {
		spec, _ := json.Marshal(map[string]any{
			"service": p.service, "addr": p.address, "zone": p.zone, "version": "v1", "slots": slots,
			"state": "ready", "cold_left_ms": 0, "seq": seq, "born": born,
		})
		s.write("servers", p.id, spec)
		time.Sleep(beat)
	}
}

// take takes a slot.
func (p *replica) take(n int) (running int, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n > 0 && p.running >= replicaSlots {
		return p.running, false
	}
	p.running += n
	return p.running, true
}

// ServeHTTP runs a request.
func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	h := w.Header()
	h.Set("Replica-Id", p.id)
	if r.URL.Path == "/healthz" {
		return
	}
	h.Set("Attempt-Id", id)
	if expected := r.Header.Get("Expect-Replica"); expected != "" && expected != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	running, ok := p.take(1)
	h.Set("Replica-Load", fmt.Sprintf("%d,0,%d", running, replicaSlots))
	if !ok {
		h.Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer p.take(-1)
	began := p.runs.add(id, p.id)
	p.record("replica %s: %s begins, Deadline-Ms %s, Tenant %s", p.id, id, r.Header.Get("Deadline-Ms"), r.Header.Get("Tenant"))
	select {
	case <-time.After(p.work):
	case <-r.Context().Done():
		p.runs.mu.Lock()
		began.dropped = true
		p.runs.mu.Unlock()
		p.record("replica %s: %s dropped, its connection has closed", p.id, id)
		return
	}
	answer := "done " + id + " " + strconv.Itoa(len(body))
	h.Set("Replica-Seal", "seal."+id)
	h.Set("Content-Length", strconv.Itoa(len(answer)))
	_, err = io.WriteString(w, answer)
	p.runs.mu.Lock()
	began.answered = err == nil
	p.runs.mu.Unlock()
	p.record("replica %s: %s answered", p.id, id)
}

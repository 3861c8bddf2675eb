package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// beat is the interval at which a replica writes its entry.
const beat = 1200 * time.Millisecond

// run is a request that a replica has begun to work on.
type run struct {
	id, path, replica, service string
	at                         time.Time
}

// runs collects the runs of all replicas.
type runs struct {
	mu   sync.Mutex
	list []run
}

func (r *runs) add(one run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, one)
}

func (r *runs) all() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.list...)
}

// replica stands in for a server of a service. It runs what is sent to it under its own ID.
type replica struct {
	id, service, zone string
	slots             int
	work              time.Duration
	store             *store
	runs              *runs
	rec               *recorder
	born              time.Time

	server  *http.Server
	address string
	stop    context.CancelFunc

	mu      sync.Mutex
	state   string
	running int
	seq     int
}

// startReplica starts a replica and writes its entry from then on.
func startReplica(d *deployment, id, service string, work time.Duration) *replica {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &replica{
		id: id, service: service, zone: "zone-a", slots: 16, work: work, store: d.store, runs: d.runs, rec: d.rec,
		born: time.Now(), address: l.Addr().String(), stop: cancel, state: "ready",
	}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }()
	r.writeEntry()
	go r.beat(ctx)
	return r
}

func (r *replica) beat(ctx context.Context) {
	ticker := time.NewTicker(beat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.writeEntry()
		}
	}
}

// writeEntry writes the replica's entry and returns when the store has accepted it.
func (r *replica) writeEntry() time.Time {
	r.mu.Lock()
	r.seq++
	entry := map[string]any{
		"service": r.service, "addr": r.address, "zone": r.zone, "version": "v1", "slots": r.slots,
		"state": r.state, "cold_left_ms": 0, "seq": r.seq, "born": r.born.UnixMilli(),
	}
	r.mu.Unlock()
	return r.store.put("servers", r.id, entry)
}

// drain reports that the replica leaves, and returns when the store has accepted that.
func (r *replica) drain() time.Time {
	r.mu.Lock()
	r.state = "draining"
	r.mu.Unlock()
	return r.writeEntry()
}

// end ends the replica's process: its entry is gone and its connections are closed.
func (r *replica) end() {
	r.stop()
	_ = r.server.Close()
	r.store.remove("servers", r.id)
}

// ServeHTTP runs a request and answers it.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Attempt-Id")
	if want := req.Header.Get("Expect-Replica"); want != "" && want != r.id {
		r.rec.printf("replica   %s (%s) answers 421 to %s for %s", r.id, r.service, id, want)
		w.Header().Set("Replica-Id", r.id)
		w.Header().Set("Attempt-Id", id)
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	if !r.take() {
		w.Header().Set("Attempt-Id", id)
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.release()
	now := time.Now()
	r.runs.add(run{id: id, path: req.URL.Path, replica: r.id, service: r.service, at: now})
	r.rec.printf("replica   %s (%s) runs %s %s %s", r.id, r.service, id, req.Method, req.URL.Path)
	time.Sleep(r.work)
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Replica-Seal", "seal."+r.id+"."+id)
	w.Header().Set("Replica-Load", r.load())
	_, _ = fmt.Fprintf(w, "%s answers %s", r.service, strings.TrimPrefix(req.URL.Path, "/"))
}

func (r *replica) take() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running >= r.slots {
		return false
	}
	r.running++
	return true
}

func (r *replica) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
}

func (r *replica) load() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf("%d,0,%d", r.running, r.slots)
}

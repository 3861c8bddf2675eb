// Package service is a small stand-in for a plain service, such as seat
// booking. It counts the runs of each key and does not deduplicate them, so that
// a request that ran twice can be detected.
//
// # Usage
//
//	runs := service.NewRuns()
//	s := service.New(service.Config{Slots: 16, Delay: 5 * time.Millisecond, Runs: runs})
//	http.ListenAndServe(address, s)
//	repeated := runs.Repeated()
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonlanding/internal/wire/upstreamhttp"
)

// maxBodyBytes bounds the part of a body that is read.
const maxBodyBytes = 16 << 20

// Config sets a service's capacity and latency.
type Config struct {
	// Slots bounds the number of requests that run at the same time.
	Slots int
	// Delay is the duration of a run.
	Delay time.Duration
	// Runs counts the runs; several services may share it.
	Runs *Runs
}

// Confirmation is the service's answer.
type Confirmation struct {
	Key string `json:"key"`
	// BodyHash is the hash of the body, so that a receiver can check that the
	// answer belongs to its own request.
	BodyHash uint64 `json:"content"`
}

// Runs counts the runs of each key. It is safe for concurrent use.
type Runs struct {
	mu    sync.Mutex
	count map[string]int
}

// NewRuns returns an empty Runs.
func NewRuns() *Runs { return &Runs{count: make(map[string]int)} }

func (r *Runs) add(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count[key]++
}

// Repeated returns the keys that ran more than once.
func (r *Runs) Repeated() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var keys []string
	for key, n := range r.count {
		if n > 1 {
			keys = append(keys, key)
		}
	}
	return keys
}

// Count returns the number of runs of a key.
func (r *Runs) Count(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count[key]
}

// Service is the stand-in. It is safe for concurrent use.
type Service struct {
	cfg Config

	mu      sync.Mutex
	running int
}

// New returns a service.
func New(cfg Config) *Service {
	if cfg.Runs == nil {
		cfg.Runs = NewRuns()
	}
	return &Service{cfg: cfg}
}

// ServeHTTP serves the upstream API, and the keys that ran more than once at
// RunsPath.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case upstreamhttp.CallPath:
		w.Header().Set(upstreamhttp.HeaderInstance, r.Header.Get(upstreamhttp.HeaderInstance))
		s.call(w, r)
	case upstreamhttp.LoadPath:
		s.mu.Lock()
		load := upstreamhttp.Load{Running: s.running}
		s.mu.Unlock()
		_ = json.NewEncoder(w).Encode(load)
	case RunsPath:
		_ = json.NewEncoder(w).Encode(struct {
			Repeated []string `json:"repeated"`
		}{s.cfg.Runs.Repeated()})
	default:
		http.NotFound(w, r)
	}
}

// RunsPath is the path of the list of keys that ran more than once.
const RunsPath = "/runs"

// acquireSlot takes a slot or returns the reason why the request is refused.
func (s *Service) acquireSlot() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.cfg.Slots {
		return upstreamhttp.ReasonBusy
	}
	s.running++
	return ""
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	key := r.Header.Get(upstreamhttp.HeaderKey)
	if reason := s.acquireSlot(); reason != "" {
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(upstreamhttp.NotRun{Reason: reason})
		return
	}
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	s.cfg.Runs.add(key)
	time.Sleep(s.cfg.Delay)
	_ = json.NewEncoder(w).Encode(Confirmation{Key: key, BodyHash: xxhash.Sum64(body)})
}

// Package platform is a small stand-in for the platform's object API, with
// revisions, conditional updates, watches and injected faults.
//
// # Usage
//
//	p := platform.New(token)
//	http.ListenAndServe(address, p)
//	p.SetFaults(platform.Faults{Outage: true})
package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"monsoonlanding/internal/wire/objecthttp"
)

// maxWatchWait bounds the duration of a watch.
const maxWatchWait = 30 * time.Second

// Faults sets the faults that the API injects. The zero value injects none.
type Faults struct {
	// Outage answers every call with 503.
	Outage bool `json:"outage"`
	// DelayMS is the delay of every call in milliseconds.
	DelayMS int `json:"delay_ms"`
	// DropAnswerEvery is the interval, in writes, at which the answer to a write
	// is dropped after the update has taken effect; 0 drops none. Conflicts and
	// deletions count as writes, but their answers are not dropped.
	DropAnswerEvery int `json:"lose_every"`
}

// Calls holds the number of calls per kind.
type Calls struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	Lists   uint64 `json:"lists"`
}

type object struct {
	revision uint64
	value    []byte
}

// Platform is the stand-in. It is safe for concurrent use.
type Platform struct {
	token string

	mu      sync.Mutex
	objects map[string]object
	// changed is closed and replaced with each update.
	changed      chan struct{}
	lastRevision uint64
	faults       Faults
	calls        Calls
}

// New returns an empty store that expects the given bearer token.
func New(token string) *Platform {
	return &Platform{token: token, objects: make(map[string]object), changed: make(chan struct{})}
}

// SetFaults sets the faults that the API injects from now on.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Calls returns the number of calls so far. Calls during an outage are not
// counted.
func (p *Platform) Calls() Calls {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// ServeHTTP serves the object API, and POST /control with Faults as its body.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Authorization") != "Bearer "+p.token {
		http.Error(w, "wrong token", http.StatusUnauthorized)
		return
	}
	if r.URL.Path == "/control" {
		p.control(w, r)
		return
	}
	path, ok := strings.CutPrefix(r.URL.Path, objecthttp.ObjectsPath)
	if !ok {
		http.NotFound(w, r)
		return
	}
	p.mu.Lock()
	faults := p.faults
	p.mu.Unlock()
	time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)
	if faults.Outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	p.serve(w, r, path)
}

func (p *Platform) control(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
}

func (p *Platform) serve(w http.ResponseWriter, r *http.Request, path string) {
	switch {
	case r.Method == http.MethodPut:
		p.put(w, r, path)
	case r.Method == http.MethodDelete:
		p.delete(path)
	case path == "":
		p.list(w, r.URL.Query().Get("prefix"))
	case r.URL.Query().Has("after"):
		p.watch(w, r, path)
	default:
		p.get(w, path)
	}
}

func (p *Platform) get(w http.ResponseWriter, path string) {
	p.mu.Lock()
	p.calls.Reads++
	o := p.objects[path]
	p.mu.Unlock()
	writeObject(w, o)
}

func writeObject(w http.ResponseWriter, o object) {
	if o.revision == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set(objecthttp.RevisionHeader, strconv.FormatUint(o.revision, 10))
	_, _ = w.Write(o.value)
}

// watch answers as soon as the object's revision is above the given one, or with
// the unchanged object when the wait ends.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request, path string) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a revision", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil || wait > maxWatchWait {
		wait = maxWatchWait
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	p.mu.Lock()
	p.calls.Watches++
	p.mu.Unlock()
	for {
		p.mu.Lock()
		o, changed, outage := p.objects[path], p.changed, p.faults.Outage
		p.mu.Unlock()
		if outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if o.revision > after {
			writeObject(w, o)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			writeObject(w, o)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request, path string) {
	value, err := io.ReadAll(io.LimitReader(r.Body, objecthttp.MaxValueBytes+1))
	if err != nil || len(value) > objecthttp.MaxValueBytes {
		http.Error(w, "a value is limited to 1 MiB", http.StatusRequestEntityTooLarge)
		return
	}
	expected, err := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	if err != nil {
		http.Error(w, "If-Match must be a revision", http.StatusBadRequest)
		return
	}
	revision, dropAnswer, ok := p.update(path, expected, value)
	if !ok {
		http.Error(w, "conflict", http.StatusPreconditionFailed)
		return
	}
	if dropAnswer {
		// The update has taken effect, but the client receives no answer.
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(objecthttp.RevisionHeader, strconv.FormatUint(revision, 10))
}

// update replaces the value of an object if it has the expected revision. It
// returns the new revision and whether the answer must be dropped.
func (p *Platform) update(path string, expected uint64, value []byte) (revision uint64, dropAnswer, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Writes++
	if p.objects[path].revision != expected {
		return 0, false, false
	}
	p.lastRevision++
	p.objects[path] = object{revision: p.lastRevision, value: value}
	close(p.changed)
	p.changed = make(chan struct{})
	dropAnswer = p.faults.DropAnswerEvery > 0 && p.calls.Writes%uint64(p.faults.DropAnswerEvery) == 0
	return p.lastRevision, dropAnswer, true
}

func (p *Platform) delete(path string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Writes++
	delete(p.objects, path)
}

func (p *Platform) list(w http.ResponseWriter, prefix string) {
	p.mu.Lock()
	p.calls.Lists++
	entries := []objecthttp.ListEntry{}
	for path, o := range p.objects {
		if strings.HasPrefix(path, prefix) {
			entries = append(entries, objecthttp.ListEntry{Path: path, Revision: o.revision, Value: o.value})
		}
	}
	p.mu.Unlock()
	sort.Slice(entries, func(i, j int) bool { return entries[i].Path < entries[j].Path })
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(entries)
}

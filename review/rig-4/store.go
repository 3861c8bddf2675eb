package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxWatchWait is the longest time for which a watch is kept waiting.
const maxWatchWait = 30 * time.Second

// meta is the part of an object that the store maintains.
type meta struct {
	Name       string   `json:"name"`
	Rev        int64    `json:"rev"`
	Created    int64    `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type change struct {
	Removed bool   `json:"removed"`
	Object  object `json:"object"`
	kind    string
	rev     int64
}

// store stands in for the platform's metadata store.
type store struct {
	rec *recorder

	mu      sync.Mutex
	rev     int64
	objects map[string]map[string]*object
	changes []change
	wake    chan struct{}
}

func newStore(rec *recorder) *store {
	return &store{rec: rec, rev: 1, objects: make(map[string]map[string]*object), wake: make(chan struct{})}
}

// start serves the store and returns its address.
func (s *store) start() string { return serve(s) }

// serve serves a handler at a free loopback port and returns the address.
func serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}

// put writes the spec of an object as the operator, a replica or another writer does, and returns
// when the store has accepted it.
func (s *store) put(kind, name string, spec any) time.Time {
	data, ok := spec.(json.RawMessage)
	if !ok {
		var err error
		if data, err = json.Marshal(spec); err != nil {
			panic(err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, data, nil)
	return time.Now()
}

// remove removes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.objects[kind][name]; o != nil {
		delete(s.objects[kind], name)
		s.rev++
		s.note(change{Removed: true, Object: *o, kind: kind, rev: s.rev})
	}
}

// write stores a spec or a status, nil leaves either as it is. The lock is held.
func (s *store) write(kind, name string, spec, status json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]*object)
	}
	o := s.objects[kind][name]
	if o == nil {
		o = &object{Meta: meta{Name: name, Created: s.rev + 1, Finalizers: []string{}}, Status: json.RawMessage("null")}
		s.objects[kind][name] = o
	}
	s.rev++
	o.Meta.Rev = s.rev
	if spec != nil {
		o.Spec = spec
	}
	if status != nil {
		o.Status = status
	}
	s.note(change{Object: *o, kind: kind, rev: s.rev})
	return *o
}

// note adds a change to the history and wakes the watches. The lock is held.
func (s *store) note(c change) {
	s.changes = append(s.changes, c)
	close(s.wake)
	s.wake = make(chan struct{})
}

// ServeHTTP serves the store's calls.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	path, isObject := strings.CutPrefix(r.URL.Path, "/objects/")
	if err != nil || !isObject {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	name, isStatus := strings.CutSuffix(name, "/status")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	default:
		s.change(w, r.Method, kind, name, isStatus, body)
	}
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.objects[kind][name]; o != nil {
		answerJSON(w, http.StatusOK, o)
		return
	}
	answerJSON(w, http.StatusNotFound, nil)
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []object{}
	for _, o := range s.objects[kind] {
		items = append(items, *o)
	}
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	answerJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "store_revision": s.rev})
}

// watch answers with the changes after a revision, as soon as there is one or when the wait is over.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	waitMS, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	end := time.After(min(time.Duration(waitMS)*time.Millisecond, maxWatchWait))
	for {
		s.mu.Lock()
		events := []change{}
		for _, c := range s.changes {
			if c.kind == kind && c.rev > since {
				events = append(events, c)
			}
		}
		rev, wake := s.rev, s.wake
		s.mu.Unlock()
		if len(events) > 0 {
			answerJSON(w, http.StatusOK, map[string]any{"events": events, "store_revision": rev})
			return
		}
		select {
		case <-wake:
		case <-end:
			answerJSON(w, http.StatusOK, map[string]any{"events": events, "store_revision": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// change executes a call that writes.
func (s *store) change(w http.ResponseWriter, method, kind, name string, isStatus bool, body []byte) {
	var in object
	if len(body) > 0 && json.Unmarshal(body, &in) != nil {
		answerJSON(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if name == "" {
		name = in.Meta.Name
	}
	o := s.objects[kind][name]
	switch {
	case method == http.MethodPost && o != nil, o != nil && in.Meta.Rev != 0 && in.Meta.Rev != o.Meta.Rev:
		answerJSON(w, http.StatusConflict, o)
	case method != http.MethodPost && o == nil:
		answerJSON(w, http.StatusNotFound, nil)
	case method == http.MethodDelete:
		delete(s.objects[kind], name)
		s.rev++
		s.note(change{Removed: true, Object: *o, kind: kind, rev: s.rev})
		answerJSON(w, http.StatusOK, nil)
	case isStatus:
		answerJSON(w, http.StatusOK, s.write(kind, name, nil, in.Status))
	default:
		answerJSON(w, http.StatusOK, s.write(kind, name, in.Spec, nil))
	}
}

func answerJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// cloud stands in for the platform's calls that one node at a time makes. It accepts all.
type cloud struct{ rec *recorder }

// ServeHTTP accepts a call.
func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	c.rec.printf("platform  %s holder=%s token=%s %s", r.URL.Path, r.Header.Get("Duty-Holder"), r.Header.Get("Fence-Token"), body)
	answerJSON(w, http.StatusOK, nil)
}

package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store stands in for the platform's store and its API, as PROTOCOL.md describes them.
type store struct {
	mu      sync.Mutex
	rev     int64
	objects map[string]map[string]*object
	events  []event
	wake    chan struct{}
	record  func(format string, args ...any)
}

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

type event struct {
	kind    string
	rev     int64
	object  object
	removed bool
}

func newStore(record func(string, ...any)) *store {
	return &store{rev: 100, objects: make(map[string]map[string]*object), wake: make(chan struct{}), record: record}
}

// put writes the spec of an object as the operator or a replica does, and returns its revision.
func (s *store) put(kind, name string, spec any) int64 {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(kind, name, data, nil).Meta.Rev
}

// remove removes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(kind, name)
}

func (s *store) delete(kind, name string) {
	o := s.objects[kind][name]
	if o == nil {
		return
	}
	delete(s.objects[kind], name)
	s.rev++
	s.notify(event{kind: kind, rev: s.rev, object: *o, removed: true})
}

func (s *store) write(kind, name string, spec, status json.RawMessage) *object {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]*object)
	}
	o := s.objects[kind][name]
	s.rev++
	if o == nil {
		o = &object{Meta: meta{Name: name, Created: s.rev, Finalizers: []string{}}}
		s.objects[kind][name] = o
	}
	o.Meta.Rev = s.rev
	if spec != nil {
		o.Spec = spec
	}
	if status != nil {
		o.Status = status
	}
	s.notify(event{kind: kind, rev: s.rev, object: *o})
	return o
}

func (s *store) notify(e event) {
	s.events = append(s.events, e)
	close(s.wake)
	s.wake = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.URL.Path == "/usage" || r.URL.Path == "/scale" {
		s.record("duty %s holder %s token %s %s", r.URL.Path, r.Header.Get("Duty-Holder"), r.Header.Get("Fence-Token"), body)
		answer(w, http.StatusOK, struct{}{})
		return
	}
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.read(w, kind, name)
	default:
		s.change(w, r, kind, name, len(parts) > 2, body)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) read(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name != "" {
		if o := s.objects[kind][name]; o != nil {
			answer(w, http.StatusOK, o)
			return
		}
		answer(w, http.StatusNotFound, nil)
		return
	}
	items := []object{}
	for _, o := range s.objects[kind] {
		items = append(items, *o)
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Meta.Name < items[j].Meta.Name })
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "store_revision": s.rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		found := []map[string]any{}
		for _, e := range s.events {
			if e.kind == kind && e.rev > since {
				found = append(found, map[string]any{"removed": e.removed, "object": e.object})
			}
		}
		rev, wake := s.rev, s.wake
		s.mu.Unlock()
		if len(found) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": found, "store_revision": rev})
			return
		}
		select {
		case <-wake:
		case <-deadline:
			answer(w, http.StatusOK, map[string]any{"events": found, "store_revision": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string, isStatus bool, body []byte) {
	var in object
	if len(body) > 0 && json.Unmarshal(body, &in) != nil {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if name == "" {
		name = in.Meta.Name
	}
	rev := in.Meta.Rev
	if q := r.URL.Query().Get("rev"); q != "" {
		rev, _ = strconv.ParseInt(q, 10, 64)
	}
	o := s.objects[kind][name]
	switch {
	case o != nil && (r.Method == http.MethodPost || rev != 0 && rev != o.Meta.Rev):
		answer(w, http.StatusConflict, o)
	case o == nil && r.Method != http.MethodPost:
		answer(w, http.StatusNotFound, nil)
	case r.Method == http.MethodDelete:
		s.delete(kind, name)
		answer(w, http.StatusOK, struct{}{})
	case isStatus:
		answer(w, http.StatusOK, s.write(kind, name, nil, in.Status))
	default:
		answer(w, http.StatusOK, s.write(kind, name, in.Spec, nil))
	}
}

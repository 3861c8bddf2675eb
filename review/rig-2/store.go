package main

import (
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the store.
type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec,omitempty"`
	Status json.RawMessage `json:"status,omitempty"`
}

type meta struct {
	Name       string   `json:"name"`
	Rev        int64    `json:"rev"`
	Created    int64    `json:"created"`
	Finalizers []string `json:"finalizers,omitempty"`
	Deleting   bool     `json:"deleting,omitempty"`
}

// event is a change of an object.
type event struct {
	Object  object `json:"object"`
	Removed bool   `json:"removed"`
	kind    string
	rev     int64
}

// state is what the store holds, and what a copy of it holds.
type state struct {
	rev     int64
	objects map[string]map[string]object
	events  []event
}

func (s *state) clone() state {
	c := state{rev: s.rev, objects: make(map[string]map[string]object), events: slices.Clone(s.events)}
	for kind, objects := range s.objects {
		c.objects[kind] = maps.Clone(objects)
	}
	return c
}

// store stands in for the platform's store.
type store struct {
	address string
	record  func(string, ...any)

	mu   sync.Mutex
	now  state
	era  int64
	away bool
	// changed is closed and replaced with each change.
	changed chan struct{}
	// operator holds what the operator has written, by kind and name.
	operator map[string]json.RawMessage
}

func newStore(record func(string, ...any)) (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: l.Addr().String(), record: record, era: 1, changed: make(chan struct{}),
		now:      state{rev: 100, objects: make(map[string]map[string]object)},
		operator: make(map[string]json.RawMessage),
	}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// copy returns a copy of the store.
func (s *store) copy() state {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now.clone()
}

// restore brings the store back from a copy. It is away for a moment before.
func (s *store) restore(c state, away time.Duration) {
	s.setAway(true)
	time.Sleep(away)
	s.mu.Lock()
	lost := s.now.rev - c.rev
	s.now = c
	s.era++
	s.away = false
	s.wake()
	operator := maps.Clone(s.operator)
	s.mu.Unlock()
	s.record("store: back from a copy, %d revisions are lost, era %d", lost, s.era)
	for key, spec := range operator {
		kind, name, _ := strings.Cut(key, "/")
		s.write(kind, name, spec)
	}
}

func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.wake()
	if away {
		s.record("store: away")
	}
}

// wake ends the waits of all watches. The lock is held.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// operate writes an object as the operator does.
func (s *store) operate(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	s.operator[kind+"/"+name] = data
	s.mu.Unlock()
	s.write(kind, name, data)
}

// write writes the spec of an object without a condition, unless the store is away.
func (s *store) write(kind, name string, spec json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.away {
		s.put(kind, name, spec, nil)
	}
}

// put replaces the spec or status of an object. The lock is held.
func (s *store) put(kind, name string, spec, status json.RawMessage) object {
	if s.now.objects[kind] == nil {
		s.now.objects[kind] = make(map[string]object)
	}
	s.now.rev++
	o, known := s.now.objects[kind][name]
	if !known {
		o.Meta = meta{Name: name, Created: s.now.rev}
	}
	o.Meta.Rev = s.now.rev
	if spec != nil {
		o.Spec = spec
	}
	if status != nil {
		o.Status = status
	}
	s.now.objects[kind][name] = o
	s.now.events = append(s.now.events, event{Object: o, kind: kind, rev: s.now.rev})
	s.wake()
	return o
}

// ServeHTTP serves the calls of the system.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	if s.away {
		reply(w, http.StatusServiceUnavailable, nil)
		return
	}
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	if len(parts) < 2 || parts[0] != "objects" {
		reply(w, http.StatusNotFound, nil)
		return
	}
	kind, name := parts[1], ""
	if len(parts) > 2 {
		name = parts[2]
	}
	isStatus := len(parts) > 3 && parts[3] == "status"
	switch {
	case r.Method == http.MethodGet && name != "":
		s.get(w, kind, name)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, kind)
	case r.Method == http.MethodDelete:
		s.remove(w, kind, name)
	default:
		s.change(w, r, kind, name, isStatus, body)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	o, ok := s.now.objects[kind][name]
	if !ok {
		reply(w, http.StatusNotFound, nil)
		return
	}
	reply(w, http.StatusOK, o)
}

func (s *store) list(w http.ResponseWriter, kind string) {
	items := []object{}
	for _, name := range slices.Sorted(maps.Keys(s.now.objects[kind])) {
		items = append(items, s.now.objects[kind][name])
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "store_revision": s.now.rev})
}

// watch answers with the changes after a revision, once there are any.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	if err != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	era := s.era
	for {
		if s.away || s.era != era {
			// A watch that is waiting may be cut off.
			panic(http.ErrAbortHandler)
		}
		if after > s.now.rev {
			reply(w, http.StatusGone, nil)
			return
		}
		events := []event{}
		for _, e := range s.now.events {
			if e.kind == kind && e.rev > after {
				events = append(events, e)
			}
		}
		if len(events) > 0 || !time.Now().Before(end) {
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": s.now.rev})
			return
		}
		s.await(r, end)
	}
}

// await waits for the next change, the end of a call or a time. The lock is held before and after.
func (s *store) await(r *http.Request, end time.Time) {
	changed := s.changed
	s.mu.Unlock()
	defer s.mu.Lock()
	select {
	case <-changed:
	case <-time.After(time.Until(end)):
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

func (s *store) remove(w http.ResponseWriter, kind, name string) {
	o, ok := s.now.objects[kind][name]
	if !ok {
		reply(w, http.StatusNotFound, nil)
		return
	}
	delete(s.now.objects[kind], name)
	s.now.rev++
	s.now.events = append(s.now.events, event{Object: o, Removed: true, kind: kind, rev: s.now.rev})
	s.wake()
	reply(w, http.StatusOK, o)
}

// change creates or replaces an object, if it has the revision that the call carries.
func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string, isStatus bool, body []byte) {
	var sent object
	if err := json.Unmarshal(body, &sent); err != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	isCreate := r.Method == http.MethodPost
	if isCreate {
		name = sent.Meta.Name
	}
	rev := sent.Meta.Rev
	if n, err := strconv.ParseInt(r.URL.Query().Get("rev"), 10, 64); err == nil {
		rev = n
	}
	before, known := s.now.objects[kind][name]
	switch {
	case isCreate && known, known && rev > 0 && rev != before.Meta.Rev:
		reply(w, http.StatusConflict, before)
	case !isCreate && !known:
		reply(w, http.StatusNotFound, nil)
	case isStatus:
		reply(w, http.StatusOK, s.put(kind, name, nil, sent.Status))
	default:
		if kind == leaseKind {
			s.record("store: %s wrote %s/%s %s", r.RemoteAddr, kind, name, sent.Spec)
		}
		reply(w, http.StatusOK, s.put(kind, name, sent.Spec, nil))
	}
}

// leaseKind is the system's own kind whose writes are recorded, to tell what happened.
const leaseKind = "monsoonlanding-leases"

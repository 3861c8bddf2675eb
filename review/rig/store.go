package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the platform's store.
type object struct {
	Meta struct {
		Name       string   `json:"name"`
		Rev        int64    `json:"rev"`
		Created    int64    `json:"created"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type storeEvent struct {
	Object  object `json:"object"`
	Removed bool   `json:"removed"`
	kind    string
	rev     int64
}

// dutyCall is a call of the singleton duties that the platform has received.
type dutyCall struct {
	at     time.Time
	path   string
	holder string
	token  int64
	body   string
}

// platform stands in for the platform: its metadata store and its cloud API.
type platform struct {
	mu      sync.Mutex
	rev     int64
	objects map[string]map[string]*object
	events  []storeEvent
	wake    chan struct{}
	duties  []dutyCall
}

func newPlatform() *platform {
	return &platform{rev: 100, objects: map[string]map[string]*object{}, wake: make(chan struct{})}
}

// write creates or replaces an object as the operator and the replicas do.
func (p *platform) write(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.set(kind, name, data, nil)
}

func (p *platform) remove(kind, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.del(kind, name)
}

func (p *platform) set(kind, name string, spec, status json.RawMessage) *object {
	if p.objects[kind] == nil {
		p.objects[kind] = map[string]*object{}
	}
	o := p.objects[kind][name]
	if o == nil {
		o = &object{}
		o.Meta.Name, o.Meta.Created, o.Meta.Finalizers = name, p.rev+1, []string{}
		p.objects[kind][name] = o
	}
	if spec != nil && string(spec) == string(o.Spec) && status == nil {
		return o
	}
	p.rev++
	o.Meta.Rev = p.rev
	if spec != nil {
		o.Spec = spec
	}
	if status != nil {
		o.Status = status
	}
	p.note(kind, *o, false)
	return o
}

func (p *platform) del(kind, name string) {
	if o := p.objects[kind][name]; o != nil {
		delete(p.objects[kind], name)
		p.rev++
		p.note(kind, *o, true)
	}
}

func (p *platform) note(kind string, o object, removed bool) {
	p.events = append(p.events, storeEvent{Object: o, Removed: removed, kind: kind, rev: p.rev})
	close(p.wake)
	p.wake = make(chan struct{})
}

func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(2 * time.Millisecond)
	status, answer := p.answer(r, body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

func (p *platform) answer(r *http.Request, body []byte) (int, any) {
	if r.URL.Path == "/usage" || r.URL.Path == "/scale" {
		token, _ := strconv.ParseInt(r.Header.Get("Fence-Token"), 10, 64)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.duties = append(p.duties, dutyCall{time.Now(), r.URL.Path, r.Header.Get("Duty-Holder"), token, string(body)})
		return 200, map[string]any{}
	}
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	q := r.URL.Query()
	if r.Method == http.MethodGet && name == "" && q.Has("watch") {
		return p.watch(r, kind)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.Method == http.MethodGet {
		return p.read(kind, name, q.Get("after"))
	}
	return p.change(r, kind, name, len(parts) > 2, body)
}

func (p *platform) read(kind, name, after string) (int, any) {
	if name != "" {
		if o := p.objects[kind][name]; o != nil {
			return 200, *o
		}
		return 404, map[string]any{}
	}
	items := []object{}
	for _, o := range p.objects[kind] {
		if o.Meta.Name > after {
			items = append(items, *o)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Meta.Name < items[j].Meta.Name })
	return 200, map[string]any{"items": items, "has_more": false, "store_revision": p.rev}
}

func (p *platform) watch(r *http.Request, kind string) (int, any) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		p.mu.Lock()
		found := []storeEvent{}
		for _, e := range p.events {
			if e.kind == kind && e.rev > since {
				found = append(found, e)
			}
		}
		rev, wake := p.rev, p.wake
		p.mu.Unlock()
		if len(found) > 0 {
			return 200, map[string]any{"events": found, "store_revision": rev}
		}
		select {
		case <-wake:
		case <-deadline:
			return 200, map[string]any{"events": found, "store_revision": rev}
		case <-r.Context().Done():
			return 200, nil
		}
	}
}

func (p *platform) change(r *http.Request, kind, name string, isStatus bool, body []byte) (int, any) {
	var in object
	if len(body) > 0 && json.Unmarshal(body, &in) != nil {
		return 400, map[string]any{}
	}
	if name == "" {
		name = in.Meta.Name
	}
	rev := in.Meta.Rev
	if q := r.URL.Query().Get("rev"); q != "" {
		rev, _ = strconv.ParseInt(q, 10, 64)
	}
	o := p.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && o != nil, o != nil && rev != 0 && rev != o.Meta.Rev:
		return 409, *o
	case r.Method != http.MethodPost && o == nil:
		return 404, map[string]any{}
	case r.Method == http.MethodDelete:
		p.del(kind, name)
		return 200, map[string]any{}
	case isStatus:
		return 200, *p.set(kind, name, nil, in.Status)
	case kind == "config" || kind == "servers":
		return 403, map[string]any{"err": fmt.Sprintf("%s is not the system's to write", kind)}
	default:
		return 200, *p.set(kind, name, in.Spec, nil)
	}
}

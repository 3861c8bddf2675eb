package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// eventCount events are made by a run, one each eventGap.
	eventCount = 24
	eventGap   = 100 * time.Millisecond
	// moveQueue is how long a move waits behind others before it stops the run.
	moveQueue = 250 * time.Millisecond
)

// engine stands in for a model replica that streams events and moves runs, as PROTOCOL.md says.
type engine struct {
	fleet   *fleet
	id      string
	number  int
	address string

	mu   sync.Mutex
	runs map[string]*run
	// copies holds the events that the run of each copied memory had made.
	copies map[string]int
}

type run struct {
	// stop ends the run; its stream is closed without its end. spoil ends it behind wrong bytes.
	stop, spoil chan struct{}
	once        sync.Once
	ended       chan struct{}
	made        int
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expect-Replica"); expected != "" && expected != e.id {
		w.Header().Set("Replica-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.URL.Path == "/kv-move" {
		e.move(w, body)
		return
	}
	e.stream(w, r)
}

// stream runs a request. It goes on behind Last-Event-Id.
func (e *engine) stream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if from := r.Header.Get("Kv-From"); from != "" && !e.takeCopy(from) {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.fleet.rig.ran(id, fmt.Sprintf("%s from event %d", e.id, last+1))
	e.fleet.answered(e.number)
	x := &run{stop: make(chan struct{}), spoil: make(chan struct{}), ended: make(chan struct{}), made: last}
	e.mu.Lock()
	e.runs[id] = x
	e.mu.Unlock()
	defer close(x.ended)
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.runs, id)
	}()
	breakAfter := e.fleet.breakAfter(id, e.number)
	w.Header().Set("Replica-Seal", e.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := last + 1; n <= eventCount; n++ {
		select {
		case <-time.After(eventGap):
		case <-x.spoil:
			e.writeWrongBytes(w, id)
			return
		case <-x.stop:
			e.fleet.rig.saw(id, "stopped by "+e.id)
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			e.fleet.rig.saw(id, "dropped by "+e.id)
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n)
		_ = http.NewResponseController(w).Flush()
		x.made = n
		if breakAfter > 0 && n-last >= breakAfter {
			e.fleet.rig.saw(id, "answer broken off by "+e.id)
			panic(http.ErrAbortHandler)
		}
	}
}

// writeWrongBytes spoils an answer: bytes that are none of it stand where its next chunk is due.
func (e *engine) writeWrongBytes(w http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	e.fleet.rig.saw(id, "answer spoiled by "+e.id)
	_, _ = io.WriteString(conn, "\x01\x02 no answer \x03\r\n")
	_ = conn.Close()
}

// move stops a run and copies its memory to another engine.
func (e *engine) move(w http.ResponseWriter, body []byte) {
	var call struct {
		ID     string `json:"id"`
		Target string `json:"target"`
	}
	if json.Unmarshal(body, &call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	x := e.runs[call.ID]
	e.mu.Unlock()
	if x == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	e.fleet.rig.saw(call.ID, "move from "+e.id+" asked for")
	if e.fleet.maySpoil(call.ID, e.number) {
		time.Sleep(moveQueue / 3)
		close(x.spoil)
	}
	time.Sleep(moveQueue)
	select {
	case <-x.ended:
		w.WriteHeader(http.StatusNotFound)
		return
	default:
	}
	x.once.Do(func() { close(x.stop) })
	<-x.ended
	handle := e.id + "-" + call.ID
	e.fleet.copy(call.Target, e.address+"/"+handle, x.made)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"handle": handle, "created": x.made})
}

func (e *engine) takeCopy(from string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.copies[from]
	delete(e.copies, from)
	return ok
}

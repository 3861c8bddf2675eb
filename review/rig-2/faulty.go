package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// errorShare is the share of reads that a replica fails with 500, as on the sites.
	errorShare = 0.14
	// spoiledShare is the share of answers that a faulty replica follows up with additional bytes.
	spoiledShare = 0.03
	// A replica runs up to faultySlots requests at a time and queues as many as faultyQueue.
	faultySlots = 3
	faultyQueue = 1
	faultyWork  = 12 * time.Millisecond
)

// faultyReplica stands in for a replica that sends additional bytes after some of its answers: the
// begin of the same answer once more, late, at the point where the next answer is expected.
type faultyReplica struct {
	id, service, address, zone string
	record                     func(string, ...any)

	mu sync.Mutex
	// spoils is set while the replica is faulty.
	spoils bool
	// statuses holds the replica's own status for each request, by its ID; ran holds those that
	// have run.
	statuses map[string][]int
	ran      map[string]bool
	strays   int
	present  int
	slots    chan struct{}
}

func (r *rig) startFaultyReplicas(service string, count int) ([]*faultyReplica, error) {
	var list []*faultyReplica
	for i := range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		p := &faultyReplica{
			id: fmt.Sprintf("i-%s-%d", service, i+1), service: service, address: l.Addr().String(),
			zone: fmt.Sprintf("zone-%c", 'a'+i%3), record: r.record, statuses: make(map[string][]int), ran: make(map[string]bool),
			slots: make(chan struct{}, faultySlots),
		}
		go p.accept(l)
		go (&replica{id: p.id, service: service, address: p.address, zone: p.zone, slots: faultySlots}).register(r.store)
		list = append(list, p)
	}
	return list, nil
}

func (p *faultyReplica) setSpoils(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spoils = on
}

// statusesOf returns the statuses with which the replica has answered a request, and whether it has
// run it.
func (p *faultyReplica) statusesOf(id string) (statuses []int, ran bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.statuses[id], p.ran[id]
}

// enter counts a request that has arrived and reports whether there is room for it.
func (p *faultyReplica) enter() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.present >= faultySlots+faultyQueue {
		return false
	}
	p.present++
	return true
}

func (p *faultyReplica) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.present--
}

// work runs a request in a slot.
func (p *faultyReplica) work(id string) {
	p.slots <- struct{}{}
	p.mu.Lock()
	p.ran[id] = true
	p.mu.Unlock()
	time.Sleep(faultyWork)
	<-p.slots
}

func (p *faultyReplica) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

// serve serves one request at a time on a connection.
func (p *faultyReplica) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	var before string
	// late is sent before the next answer.
	late := ""
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		status, answer := p.answer(r, body)
		if late != "" {
			p.record("replica %s: additional bytes %q after the answer to %s", p.id, late, before)
			if _, err := io.WriteString(c, late); err != nil {
				return
			}
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		before, late = r.Header.Get("Attempt-Id"), ""
		p.record("replica %s: %s answered with %d", p.id, before, status)
		if p.spoilsNext() {
			late = answer[:strings.Index(answer, "\r\n")]
		}
	}
}

// spoilsNext decides whether an answer is followed up.
func (p *faultyReplica) spoilsNext() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.spoils || rand.Float64() >= spoiledShare {
		return false
	}
	p.strays++
	return true
}

// answer runs a request and returns the replica's own answer to it.
func (p *faultyReplica) answer(r *http.Request, body []byte) (int, string) {
	id := r.Header.Get("Attempt-Id")
	status, extra, content := http.StatusOK, "Replica-Seal: seal."+id+"\r\n", "record of "+id+" "+string(bytes.ToUpper(body))
	expected := r.Header.Get("Expect-Replica")
	switch {
	case expected != "" && expected != p.id:
		status, extra, content = http.StatusMisdirectedRequest, "", ""
	case !p.enter():
		status, extra, content = http.StatusServiceUnavailable, "Not-Run: 1\r\n", "full"
	default:
		p.work(id)
		p.leave()
		if strings.HasPrefix(r.URL.Path, readPrefix) && rand.Float64() < errorShare {
			status, content = http.StatusInternalServerError, "failed: "+id
		}
	}
	p.mu.Lock()
	p.statuses[id] = append(p.statuses[id], status)
	p.mu.Unlock()
	return status, fmt.Sprintf("HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), id, extra, len(content), content)
}

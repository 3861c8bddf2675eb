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
	// errorShare is the share of requests that a replica of the reads fails with 500, as on the
	// sites.
	errorShare = 0.14
	// spoiledShare is the share of answers that a faulty replica follows up with additional bytes.
	spoiledShare = 0.03
	readWork     = 5 * time.Millisecond
)

// faultyReplica stands in for a replica that sends additional bytes after some of its answers: the
// begin of the same answer once more, late, at the point where the next answer is expected.
type faultyReplica struct {
	id, service, address, zone string
	record                     func(string, ...any)

	mu sync.Mutex
	// spoils is set while the replica is faulty.
	spoils bool
	// statuses holds the replica's own status for each request, by its ID.
	statuses map[string][]int
	strays   int
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
			zone: fmt.Sprintf("zone-%c", 'a'+i%3), record: r.record, statuses: make(map[string][]int),
		}
		go p.accept(l)
		go (&replica{id: p.id, service: service, address: p.address, zone: p.zone}).register(r.store)
		list = append(list, p)
	}
	return list, nil
}

func (p *faultyReplica) setSpoils(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spoils = on
}

// statusesOf returns the statuses with which the replica has answered a request.
func (p *faultyReplica) statusesOf(id string) []int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.statuses[id]
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
		time.Sleep(readWork)
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

// answer returns the replica's own answer to a request.
func (p *faultyReplica) answer(r *http.Request, body []byte) (int, string) {
	id := r.Header.Get("Attempt-Id")
	status, content := http.StatusOK, "record of "+id+" "+string(bytes.ToUpper(body))
	switch expected := r.Header.Get("Expect-Replica"); {
	case expected != "" && expected != p.id:
		status, content = http.StatusMisdirectedRequest, ""
	case rand.Float64() < errorShare:
		status, content = http.StatusInternalServerError, "failed: "+id
	}
	p.mu.Lock()
	p.statuses[id] = append(p.statuses[id], status)
	p.mu.Unlock()
	return status, fmt.Sprintf("HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\nReplica-Seal: seal.%s\r\nReplica-Id: %s\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), id, id, p.id, len(content), content)
}

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is one run of a request at a replica.
type run struct {
	id      string
	replica string
	at      time.Time
	tenant  string
}

// ledger has all runs.
type ledger struct {
	mu   sync.Mutex
	runs map[string][]run
}

func newLedger() *ledger { return &ledger{runs: map[string][]run{}} }

func (l *ledger) add(r run) {
	l.mu.Lock()
	l.runs[r.id] = append(l.runs[r.id], r)
	l.mu.Unlock()
	note("run      %s at %s", r.id, r.replica)
}

func (l *ledger) of(id string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.runs[id]...)
}

// replica stands in for a replica of a service. It runs slots requests at once, queues a few more
// and turns away the rest.
type replica struct {
	id, service, zone string
	slots, queue      int
	work              func() time.Duration
	// events is the number of events of a stream, and gap the time between two; 0 for plain answers.
	events int
	gap    time.Duration
	ledger *ledger
	// pieces is the number of chunks of a long plain answer, 0 for a short one; pieceGap is the
	// time between two.
	pieces   int
	pieceGap atomic.Int64
	// copies is the share of the answers, in thousandths, that are sent a second time: late, where
	// the next answer on the connection is expected.
	copies atomic.Int64

	mu       sync.Mutex
	running  int
	waiting  int
	wake     chan struct{}
	listener net.Listener
	conns    map[net.Conn]bool
	down     bool
}

func newReplica(id, service, zone string, slots, queue int, l *ledger) *replica {
	r := &replica{id: id, service: service, zone: zone, slots: slots, queue: queue, ledger: l, wake: make(chan struct{}), conns: map[net.Conn]bool{}}
	var err error
	if r.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		fatal("listen: %v", err)
	}
	go r.accept()
	return r
}

// register writes the replica's entry to the store.
func (r *replica) register(p *platform) {
	p.write("servers", r.id, map[string]any{
		"service": r.service, "addr": r.listener.Addr().String(), "zone": r.zone, "version": "v1", "slots": r.slots,
		"state": "ready", "cold_left_ms": 0, "seq": 1, "born": began.UnixMilli(),
		"stage": "mixed", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
	})
}

// crash resets all connections and refuses new ones.
func (r *replica) crash() {
	note("replica %s crashes", r.id)
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = true
	for c := range r.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (r *replica) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		go r.serve(c)
	}
}

// begin takes a slot, at once or after others. It reports false if the queue is full.
func (r *replica) begin() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running >= r.slots {
		if r.waiting >= r.queue {
			return false
		}
		r.waiting++
		for r.running >= r.slots {
			wake := r.wake
			r.mu.Unlock()
			<-wake
			r.mu.Lock()
		}
		r.waiting--
	}
	r.running++
	return true
}

func (r *replica) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	close(r.wake)
	r.wake = make(chan struct{})
}

func (r *replica) load() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", r.running, r.waiting, r.slots)
}

// serve answers the requests of a connection one after the other.
func (r *replica) serve(c net.Conn) {
	defer func() {
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
		_ = c.Close()
	}()
	in := bufio.NewReader(c)
	second := ""
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get("Attempt-Id")
		if second != "" {
			note("copy     of an earlier answer, where that to %s is expected, by %s", id, r.id)
			if _, err := io.WriteString(c, second); err != nil {
				return
			}
			second = ""
		}
		answer, ok := r.answer(c, req, id)
		if !ok {
			return
		}
		if rand.Int64N(1000) < r.copies.Load() {
			second = answer
		}
	}
}

// answer answers a request. It returns the answer's bytes, and false if the connection has ended.
func (r *replica) answer(c net.Conn, req *http.Request, id string) (string, bool) {
	send := func(text string) (string, bool) {
		_, err := io.WriteString(c, text)
		return text, err == nil
	}
	if req.URL.Path == "/healthz" {
		return send(fmt.Sprintf("HTTP/1.1 200 OK\r\nReplica-Id: %s\r\nReplica-Load: %s\r\nContent-Length: 0\r\n\r\n", r.id, r.load()))
	}
	if want := req.Header.Get("Expect-Replica"); want != "" && want != r.id {
		return send(fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nReplica-Id: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", id, r.id))
	}
	if !r.begin() {
		note("refused  %s at %s, queue full", id, r.id)
		return send(fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: %s\r\nNot-Run: 1\r\nReplica-Load: %s\r\nContent-Length: 0\r\n\r\n", id, r.load()))
	}
	defer r.end()
	r.ledger.add(run{id: id, replica: r.id, at: time.Now(), tenant: req.Header.Get("Tenant")})
	if r.events > 0 {
		return "", r.stream(c, req, id)
	}
	time.Sleep(r.work())
	if r.pieces > 0 {
		return "", r.long(c, id)
	}
	body := strings.Repeat("b", 800)
	return send(fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nReplica-Seal: %s.%s\r\nReplica-Load: %s\r\nContent-Length: %d\r\n\r\n%s",
		id, r.id, id, r.load(), len(body), body))
}

// stream sends the events after the one that the request names.
func (r *replica) stream(c net.Conn, req *http.Request, id string) bool {
	first := 1
	if last := req.Header.Get("Last-Event-Id"); last != "" {
		var n int
		if _, err := fmt.Sscan(last, &n); err == nil {
			first = n + 1
		}
	}
	if first > 1 {
		note("resumed  %s at %s from event %d", id, r.id, first)
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nReplica-Seal: %s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, r.id, id)
	if _, err := io.WriteString(c, head); err != nil {
		return false
	}
	for n := first; n <= r.events; n++ {
		time.Sleep(r.gap)
		event := fmt.Sprintf("id: %d\ndata: %s %d of %d\n\n", n, id, n, r.events)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// pieceBytes is the size of a chunk of a long plain answer.
const pieceBytes = 10 << 10

// longPiece returns a chunk of the long answer to a request.
func longPiece(id string, n int) string {
	text := fmt.Sprintf("%s %d;", id, n)
	return strings.Repeat(text, pieceBytes/len(text)+1)[:pieceBytes]
}

// long sends a long plain answer in chunks.
func (r *replica) long(c net.Conn, id string) bool {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nReplica-Seal: %s.%s\r\nTransfer-Encoding: chunked\r\n\r\n", id, r.id, id)
	if _, err := io.WriteString(c, head); err != nil {
		return false
	}
	for n := range r.pieces {
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", pieceBytes, longPiece(id, n)); err != nil {
			return false
		}
		time.Sleep(time.Duration(r.pieceGap.Load()))
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

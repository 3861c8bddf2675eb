package boundedtcp

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/memory"
)

// patience bounds the wait for what must happen.
const patience = 10 * time.Second

// testServer serves requests on a bounded listener. A request to /wait is answered after release.
type testServer struct {
	*qt.C
	address string
	budget  *memory.Budget
	release chan struct{}
	waiting chan struct{}

	mu     sync.Mutex
	causes map[Cause]int
}

func newTestServer(t *testing.T, maxConns int, budget int64) *testServer {
	s := &testServer{
		C: qt.New(t), budget: memory.New(budget), release: make(chan struct{}), waiting: make(chan struct{}, 100),
		causes: make(map[Cause]int),
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	s.Assert(err, qt.IsNil)
	s.address = l.Addr().String()
	bounded := New(l, Config{
		MaxConns: maxConns, Heads: s.budget, MaxHeadBytes: func() int { return 8 << 10 },
		OnClose: func(cause Cause) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.causes[cause]++
		},
	})
	server := &http.Server{ConnContext: WithConn, ConnState: ConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := ConnOf(r.Context())
		conn.HeadRead(r.Header)
		conn.RequestRead()
		if r.URL.Path == "/wait" {
			s.waiting <- struct{}{}
			<-s.release
		}
		_, _ = io.WriteString(w, "answer")
	})}
	go func() { _ = server.Serve(bounded) }()
	s.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *testServer) count(cause Cause) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.causes[cause]
}

// dial opens a connection and writes a text.
func (s *testServer) dial(text string) net.Conn {
	conn, err := net.Dial("tcp", s.address)
	s.Assert(err, qt.IsNil)
	s.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, text)
	s.Assert(err, qt.IsNil)
	return conn
}

func request(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

// status reads the status of an answer, 0 if the connection is closed.
func (s *testServer) status(conn net.Conn) int {
	s.Assert(conn.SetReadDeadline(time.Now().Add(patience)), qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// awaitTaken waits until the memory for heads is as expected.
func (s *testServer) awaitTaken(want func(int64) bool) bool {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if want(s.budget.Taken()[memory.Head]) {
			return true
		}
	}
	return false
}

// TestNewConnectionsReplaceUnreadOnes: clients that open connections and send nothing, or half a
// head, kept ordinary callers out. One whose request is served keeps its connection.
func TestNewConnectionsReplaceUnreadOnes(t *testing.T) {
	s := newTestServer(t, 4, 1<<20)
	served := s.dial(request("/wait"))
	<-s.waiting
	for i := range 20 {
		s.dial([]string{"", "GET / HTTP/1.1\r\nHost: a\r\n"}[i%2])
	}
	s.Assert(s.status(s.dial(request("/"))), qt.Equals, http.StatusOK)
	s.Assert(s.count(CauseEvicted) >= 17, qt.IsTrue)
	close(s.release)
	s.Assert(s.status(served), qt.Equals, http.StatusOK)
}

// TestConnectionIsRefusedWhileAllAreServed: nothing is cut for a newcomer.
func TestConnectionIsRefusedWhileAllAreServed(t *testing.T) {
	s := newTestServer(t, 2, 1<<20)
	served := []net.Conn{s.dial(request("/wait")), s.dial(request("/wait"))}
	<-s.waiting
	<-s.waiting
	s.Assert(s.status(s.dial("")), qt.Equals, 0)
	s.Assert(s.count(CauseFull), qt.Equals, 1)
	close(s.release)
	for _, conn := range served {
		s.Assert(s.status(conn), qt.Equals, http.StatusOK)
	}
	// Their connections are idle now.
	s.Assert(s.status(s.dial(request("/"))), qt.Equals, http.StatusOK)
}

// TestHeadsTakeMemory: a head of short lines takes many times its bytes. One that does not fit is
// answered at once; memory is given back when the client leaves.
func TestHeadsTakeMemory(t *testing.T) {
	s := newTestServer(t, 100, 600_000)
	half := "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", 2000)
	var open []net.Conn
	refused := 0
	for i := range 8 {
		open = append(open, s.dial(half))
		if i == 0 {
			s.Assert(s.awaitTaken(func(n int64) bool { return n >= bytesPerHeadByte*int64(len(half)) }), qt.IsTrue)
		}
	}
	for _, conn := range open {
		s.Assert(conn.SetReadDeadline(time.Now().Add(300*time.Millisecond)), qt.IsNil)
		if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil && resp.StatusCode == http.StatusServiceUnavailable {
			s.Assert(resp.Header.Get("Retry-After"), qt.Equals, "1")
			refused++
		}
	}
	s.Assert(refused > 0 && refused < len(open), qt.IsTrue, qt.Commentf("%d refused", refused))
	s.Assert(s.budget.Taken()[memory.Head] <= 600_000, qt.IsTrue)
	s.Assert(s.status(s.dial(request("/"))), qt.Equals, http.StatusOK)
	for _, conn := range open {
		s.Assert(conn.Close(), qt.IsNil)
	}
	s.Assert(s.awaitTaken(func(n int64) bool { return n == 0 }), qt.IsTrue)
}

// TestHeadOverTheLimit: the configuration's limit is lower than that of the server.
func TestHeadOverTheLimit(t *testing.T) {
	s := newTestServer(t, 100, 1<<20)
	conn := s.dial("GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 13<<10))
	s.Assert(s.status(conn), qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
	s.Assert(s.count(CauseHeadSize), qt.Equals, 1)
	conn = s.dial("GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 7<<10) + "\r\n\r\n")
	s.Assert(s.status(conn), qt.Equals, http.StatusOK)
}

// TestKeptConnectionsGiveMemoryBack: many requests on one connection take the memory of one.
func TestKeptConnectionsGiveMemoryBack(t *testing.T) {
	s := newTestServer(t, 100, 300_000)
	conn := s.dial("")
	reader := bufio.NewReader(conn)
	for i := range 200 {
		_, err := fmt.Fprintf(conn, "GET /%d HTTP/1.1\r\nHost: a\r\nX: %s\r\n\r\n", i, strings.Repeat("x", 2000))
		s.Assert(err, qt.IsNil)
		resp, err := http.ReadResponse(reader, nil)
		s.Assert(err, qt.IsNil)
		s.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	s.Assert(s.awaitTaken(func(n int64) bool { return n == 0 }), qt.IsTrue)
}

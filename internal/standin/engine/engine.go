// Package engine is a small stand-in for a model engine. The answer depends only
// on the request's body, so that any receiver can check every token.
//
// # Usage
//
//	e := engine.New(engine.Config{Slots: 8, FirstTokenLatency: 5 * time.Millisecond, EventInterval: time.Millisecond})
//	http.ListenAndServe(address, e)
//	e.SetFault(engine.FaultLeaving)
package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tmaxmax/go-sse"

	"monsoonlanding/internal/wire/upstreamhttp"
)

// Prompt is the body of a request.
type Prompt struct {
	Prompt string `json:"prompt"`
	// MaxTokens is the number of tokens of the answer, at most maxTokens.
	MaxTokens int `json:"max_tokens"`
}

// Answer returns the tokens with which every engine answers a body, and none for
// a body that is not a Prompt.
func Answer(body []byte) []string {
	var p Prompt
	if json.Unmarshal(body, &p) != nil {
		return nil
	}
	seed := xxhash.Sum64String(p.Prompt)
	tokens := make([]string, min(max(p.MaxTokens, 0), maxTokens))
	for i := range tokens {
		// Knuth's multiplicative hash constant makes successive tokens differ.
		tokens[i] = fmt.Sprintf("%03x ", (seed+uint64(i)*2654435761)%4096)
	}
	return tokens
}

// maxTokens bounds the number of tokens of an answer.
const maxTokens = 8192

// Fault is a fault that the engine injects.
type Fault string

// Faults of an engine.
const (
	FaultNone Fault = ""
	// FaultLeaving refuses every new request, as an engine that drains does.
	FaultLeaving Fault = "leaving"
	// FaultError answers every new request with an internal error.
	FaultError Fault = "error"
	// FaultStall stops sending tokens and keeps the connections open.
	FaultStall Fault = "stall"
	// FaultCrash closes the connections in the middle of the answers.
	FaultCrash Fault = "crash"
	// FaultGap omits one token of one answer.
	FaultGap Fault = "gap"
	// FaultCut answers without length or chunks and closes the connections in
	// order in the middle of an event.
	FaultCut Fault = "cut"
)

// Config sets an engine's capacity and latency.
type Config struct {
	// Slots bounds the number of requests that run at the same time.
	Slots int
	// FirstTokenLatency is the latency of the first event with tokens,
	// EventInterval the interval between two successive ones.
	FirstTokenLatency time.Duration
	EventInterval     time.Duration
	// TokensPerEvent is the number of tokens per event, at least 1.
	TokensPerEvent int
}

// Engine is the stand-in. It is safe for concurrent use.
type Engine struct {
	cfg Config

	mu      sync.Mutex
	running int
	fault   Fault
	started int
	lastRun time.Time
}

// New returns an engine.
func New(cfg Config) *Engine {
	cfg.TokensPerEvent = max(cfg.TokensPerEvent, 1)
	return &Engine{cfg: cfg}
}

// SetFault sets the fault that the engine injects from now on.
func (e *Engine) SetFault(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
}

// Runs returns the number of requests started and the start time of the last.
func (e *Engine) Runs() (started int, last time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.started, e.lastRun
}

// ServeHTTP serves the upstream API, and POST /control with {"fault": "…"}.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case upstreamhttp.GeneratePath:
		w.Header().Set(upstreamhttp.HeaderInstance, r.Header.Get(upstreamhttp.HeaderInstance))
		e.generate(w, r)
	case upstreamhttp.LoadPath:
		e.mu.Lock()
		load := upstreamhttp.Load{Running: e.running}
		e.mu.Unlock()
		_ = json.NewEncoder(w).Encode(load)
	case "/control":
		var c struct {
			Fault Fault `json:"fault"`
		}
		if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		e.SetFault(c.Fault)
	default:
		http.NotFound(w, r)
	}
}

// acquireSlot takes a slot or returns the reason why the request is refused. It
// also returns the present fault.
func (e *Engine) acquireSlot() (reason string, fault Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.fault == FaultLeaving:
		return upstreamhttp.ReasonLeaving, e.fault
	case e.running >= e.cfg.Slots:
		return upstreamhttp.ReasonBusy, e.fault
	}
	e.running++
	e.started++
	e.lastRun = time.Now()
	return "", e.fault
}

func (e *Engine) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var g upstreamhttp.Generate
	if err := json.NewDecoder(io.LimitReader(r.Body, 16<<20)).Decode(&g); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reason, fault := e.acquireSlot()
	if reason != "" {
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(upstreamhttp.NotRun{Reason: reason})
		return
	}
	defer e.releaseSlot()
	if fault == FaultError {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	e.stream(w, r, g, fault)
}

// stream answers a request; initial is the fault with which the request began.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, g upstreamhttp.Generate, initial Fault) {
	tokens := Answer(g.Body)
	controller := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	if initial == FaultCut {
		// net/http then marks the end of the answer by the end of the connection only.
		w.Header().Set("Transfer-Encoding", "identity")
	}
	// The client receives the headers at once and so knows that the request runs.
	_ = controller.Flush()
	wait := e.cfg.FirstTokenLatency
	for offset := len(g.Tokens); offset < len(tokens); {
		if !sleep(r, wait) || !e.applyFault(r) {
			return
		}
		wait = e.cfg.EventInterval
		if initial == FaultCut && offset > len(g.Tokens) {
			_, _ = io.WriteString(w, "event: "+upstreamhttp.EventDone+"\ndata: {\"count\":")
			return
		}
		end := min(offset+e.cfg.TokensPerEvent, len(tokens))
		if !writeEvent(w, upstreamhttp.EventToken, upstreamhttp.Token{Offset: offset, Tokens: tokens[offset:end]}) || controller.Flush() != nil {
			return
		}
		offset = e.nextOffset(end)
	}
	writeEvent(w, upstreamhttp.EventDone, upstreamhttp.Done{Count: len(tokens)})
}

// nextOffset returns the offset of the next token to send after those up to end.
// FaultGap omits one token and then resets the fault.
func (e *Engine) nextOffset(end int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fault == FaultGap {
		e.fault = FaultNone
		return end + 1
	}
	return end
}

// applyFault reports whether the answer may go on. With FaultCrash it aborts the
// answer, with FaultStall it blocks until the client has disconnected.
func (e *Engine) applyFault(r *http.Request) bool {
	e.mu.Lock()
	fault := e.fault
	e.mu.Unlock()
	switch fault {
	case FaultCrash:
		panic(http.ErrAbortHandler)
	case FaultStall:
		<-r.Context().Done()
		return false
	}
	return true
}

// sleep waits for d and reports whether the request still runs.
func sleep(r *http.Request, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// writeEvent writes a server-sent event and reports whether that succeeded.
func writeEvent(w io.Writer, name string, data any) bool {
	text, err := json.Marshal(data)
	if err != nil {
		return false
	}
	m := sse.Message{Type: sse.Type(name)}
	m.AppendData(string(text))
	_, err = m.WriteTo(w)
	return err == nil
}

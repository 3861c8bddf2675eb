package callerhttp

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"monsoonlanding/internal/core/caller"
)

// Event names in a stream.
const (
	eventAccepted  = "accepted"
	eventToken     = "token"
	eventRestarted = "restarted"
	eventMoved     = "moved"
	eventDone      = "done"
	eventFailed    = "failed"
)

// tokenData is the data of a token event.
type tokenData struct {
	Run    string   `json:"run"`
	Offset int      `json:"offset"`
	Tokens []string `json:"tokens"`
}

// restartedData is the data of a restarted event. The first Keep tokens remain
// valid; the rest is discarded.
type restartedData struct {
	Run  string `json:"run"`
	Keep int    `json:"keep"`
}

// movedData is the data of a moved event.
type movedData struct {
	Address string `json:"address"`
}

// doneData is the data of a done event.
type doneData struct {
	Run    string          `json:"run"`
	Count  int             `json:"count"`
	Result json.RawMessage `json:"result,omitempty"`
}

// Document is a complete answer, for callers that do not accept a stream.
type Document struct {
	Run    string          `json:"run"`
	Count  int             `json:"count"`
	Text   string          `json:"text,omitempty"`
	Result json.RawMessage `json:"result,omitempty"`
}

// writeStream writes the answer as server-sent events. A refusal before the
// first event is written as a problem document instead. A stream that ends
// without its last event is aborted, so that it does not look complete.
func (h *Handler) writeStream(w http.ResponseWriter, r *http.Request, connection Connection) {
	control := http.NewResponseController(w)
	started := false
	for {
		var e caller.StreamEvent
		var open bool
		select {
		case e, open = <-connection.Events:
		case <-r.Context().Done():
			return
		}
		if !open && started {
			panic(http.ErrAbortHandler)
		}
		if !open {
			writeProblem(w, connectionClosed())
			return
		}
		if f, ok := e.(caller.Failed); ok && !started {
			writeProblem(w, problemOf(f.Refusal))
			return
		}
		if !started {
			started = true
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("Cache-Control", "no-store")
		}
		// The deadline bounds the time spent on a caller that does not read.
		_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
		if !writeEvent(w, e) || control.Flush() != nil {
			panic(http.ErrAbortHandler)
		}
		if caller.IsTerminal(e) {
			return
		}
	}
}

func writeEvent(w http.ResponseWriter, e caller.StreamEvent) bool {
	name, id, data := encodeEvent(e)
	text, err := json.Marshal(data)
	if err != nil {
		return false
	}
	m := sse.Message{Type: sse.Type(name)}
	if id != "" {
		m.ID = sse.ID(id)
	}
	m.AppendData(string(text))
	_, err = m.WriteTo(w)
	return err == nil
}

func encodeEvent(e caller.StreamEvent) (name, id string, data any) {
	switch e := e.(type) {
	case caller.Accepted:
		return eventAccepted, "", struct {
			Instance string `json:"instance"`
		}{e.Instance}
	case caller.Tokens:
		return eventToken, formatPosition(e.Run, e.Offset+len(e.Tokens)), tokenData(e)
	case caller.Restarted:
		return eventRestarted, formatPosition(e.Run, e.Keep), restartedData(e)
	case caller.Moved:
		return eventMoved, "", movedData(e)
	case caller.Done:
		return eventDone, formatPosition(e.Run, e.Count), doneData{Run: e.Run, Count: e.Count, Result: e.Result}
	case caller.Failed:
		return eventFailed, "", problemOf(e.Refusal)
	}
	return "", "", nil
}

// writeDocument collects the complete answer and writes it as one document.
func (h *Handler) writeDocument(w http.ResponseWriter, r *http.Request, connection Connection) {
	var tokens []string
	for {
		select {
		case <-r.Context().Done():
			return
		case e, open := <-connection.Events:
			if !open {
				writeProblem(w, connectionClosed())
				return
			}
			switch e := e.(type) {
			case caller.Tokens:
				tokens = append(tokens[:e.Offset], e.Tokens...)
			case caller.Restarted:
				tokens = tokens[:e.Keep]
			case caller.Done:
				writeJSON(w, Document{Run: e.Run, Count: e.Count, Text: strings.Join(tokens, ""), Result: e.Result})
				return
			case caller.Failed:
				writeProblem(w, problemOf(e.Refusal))
				return
			case caller.Moved:
				h.writeMoved(w, r, e)
				return
			}
		}
	}
}

// connectionClosed returns the problem for a connection that the node closed
// before the answer was complete and before anything was written to the caller.
func connectionClosed() Problem {
	return problemOf(caller.Refusal{
		Outcome: caller.Unknown, Reason: caller.ReasonHolderLost, Step: "answer",
		Detail: "the node ended the connection; ask for the key at another one", RetryAfter: time.Second,
	})
}

// writeMoved redirects a caller without a stream to the node that has its answer.
func (h *Handler) writeMoved(w http.ResponseWriter, r *http.Request, e caller.Moved) {
	key := r.Header.Get(headerKey)
	if key == "" {
		key = strings.TrimPrefix(r.URL.Path, "/v1/requests/")
	}
	w.Header().Set("Location", "http://"+e.Address+"/v1/requests/"+key)
	w.WriteHeader(http.StatusSeeOther)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

package callerhttp

import (
	"encoding/json"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"

	"monsoonlanding/internal/core/caller"
	"monsoonlanding/internal/core/node"
	"monsoonlanding/internal/run/clock"
)

const (
	// AddressTTL is the time for which a caller may use a list of addresses.
	AddressTTL = 5 * time.Second
	// maxBodyBytes bounds the body of a request.
	maxBodyBytes = 4 << 20
	// maxHeaderBytes bounds the headers of a request.
	maxHeaderBytes = 16 << 10
	// defaultTimeout applies to requests without a Request-Timeout.
	defaultTimeout = 60 * time.Second
	// maxTimeout bounds Request-Timeout.
	maxTimeout = 4 * time.Minute
	// writeTimeout bounds one write to a caller that does not read, and the time
	// in which a caller must send its headers.
	writeTimeout = 10 * time.Second
	// maxPriority bounds the absolute value of Request-Priority.
	maxPriority = 9

	headerKey           = "Idempotency-Key"
	headerTimeout       = "Request-Timeout"
	headerPriority      = "Request-Priority"
	headerNonIdempotent = "Non-Idempotent"
	headerLastEvent     = "Last-Event-ID"
)

// keyPattern matches valid idempotency keys.
var keyPattern = regexp.MustCompile(`^[A-Za-z0-9._:~-]{1,128}$`)

// Address is a node that callers may use.
type Address struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// Addresses is the answer to GET /v1/addresses.
type Addresses struct {
	TTLSeconds int       `json:"ttl_seconds"`
	Addresses  []Address `json:"addresses"`
}

// Connection is the node's side of an open connection to a caller.
type Connection struct {
	// ID identifies the connection in the node's events.
	ID uint64
	// Events carries the answer's events. The node closes it early if the caller
	// reads too slowly.
	Events <-chan caller.StreamEvent
	// Close unregisters the connection.
	Close func()
}

// Config holds the dependencies of a Handler.
type Config struct {
	Clock clock.Clock
	// Submit passes an event to the node.
	Submit func(node.Event)
	// Open registers a connection.
	Open func() Connection
	// Team returns the team that a bearer key belongs to. ready is false while
	// the node has no rules yet and cannot look keys up.
	Team func(key string) (team string, known, ready bool)
	// Addresses returns the nodes to use, in order of preference for the named
	// caller.
	Addresses func(caller string) []Address
	// OnRefusal is called for each request that the handler refuses before it
	// passes an event to the node.
	OnRefusal func(reason caller.Reason)
}

// Handler serves callers.
type Handler struct{ cfg Config }

// New returns a handler.
func New(cfg Config) *Handler { return &Handler{cfg: cfg} }

// Routes returns an HTTP handler for all paths.
func (h *Handler) Routes() http.Handler {
	r := httprouter.New()
	r.GET("/v1/addresses", h.addresses)
	r.POST("/v1/services/:service/requests", h.send)
	r.GET("/v1/requests/:key", h.resume)
	r.DELETE("/v1/requests/:key", h.cancel)
	return r
}

// Server returns an HTTP server for callers, with limits on their headers.
func (h *Handler) Server() *http.Server {
	return &http.Server{Handler: h.Routes(), MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: writeTimeout}
}

func (h *Handler) addresses(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	name := r.URL.Query().Get("caller")
	if name == "" {
		name = r.RemoteAddr
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "max-age="+strconv.Itoa(int(AddressTTL.Seconds())))
	_ = json.NewEncoder(w).Encode(Addresses{TTLSeconds: int(AddressTTL.Seconds()), Addresses: h.cfg.Addresses(name)})
}

func (h *Handler) refuse(w http.ResponseWriter, p Problem) {
	h.cfg.OnRefusal(p.Reason)
	writeProblem(w, p)
}

// team authenticates the caller and returns its team. If it returns false, it
// has written a refusal.
func (h *Handler) team(w http.ResponseWriter, r *http.Request) (string, bool) {
	key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	team, known, ready := h.cfg.Team(key)
	switch {
	case !ready:
		h.refuse(w, problemOf(caller.Refusal{
			Outcome: caller.Unknown, Reason: caller.ReasonNoRules, Step: "receive",
			Detail: "no rules are in force yet", RetryAfter: time.Second,
		}))
	case !found || !known:
		h.refuse(w, problemOf(caller.Refusal{
			Outcome: caller.NotRun, Reason: ReasonUnauthorized, Step: "receive",
			Detail: "the bearer key belongs to no team",
		}))
	default:
		return team, true
	}
	return "", false
}

func (h *Handler) send(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
	team, ok := h.team(w, r)
	if !ok {
		return
	}
	request, err := h.parse(w, r)
	if err != nil {
		h.refuse(w, malformed(err.Error()))
		return
	}
	request.Team = team
	request.Service = ps.ByName("service")
	request.Key = team + "/" + r.Header.Get(headerKey)
	position, err := parsePosition(r.Header.Get(headerLastEvent))
	if err != nil {
		h.refuse(w, malformed(err.Error()))
		return
	}
	h.serve(w, r, func(conn uint64) node.Event {
		return node.CallerRequest{Conn: conn, Request: request, Position: position}
	})
}

// parse reads a request from the headers and the body.
func (h *Handler) parse(w http.ResponseWriter, r *http.Request) (caller.Request, error) {
	var req caller.Request
	if !keyPattern.MatchString(r.Header.Get(headerKey)) {
		return req, errors.New("Idempotency-Key must be 1 to 128 letters, digits or any of . _ : ~ -")
	}
	timeout, err := parseTimeout(r.Header.Get(headerTimeout))
	if err != nil {
		return req, err
	}
	if req.Priority, err = parsePriority(r.Header.Get(headerPriority)); err != nil {
		return req, err
	}
	if req.NonIdempotent, err = parseFlag(r.Header.Get(headerNonIdempotent)); err != nil {
		return req, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return req, errors.Wrap(err, "read the body, of at most 4 MiB")
	}
	if !json.Valid(body) {
		return req, errors.New("the body is not a JSON document")
	}
	req.Body = body
	req.Instance = uuid.NewString()
	req.Arrived = h.cfg.Clock.Now()
	req.Deadline = req.Arrived.Add(timeout)
	return req, nil
}

func parseTimeout(text string) (time.Duration, error) {
	if text == "" {
		return defaultTimeout, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > maxTimeout {
		return 0, errors.Errorf("Request-Timeout %q is not a duration from 1ms to %s", text, maxTimeout)
	}
	return d, nil
}

func parsePriority(text string) (int, error) {
	if text == "" {
		return 0, nil
	}
	p, err := strconv.Atoi(text)
	if err != nil || p < -maxPriority || p > maxPriority {
		return 0, errors.Errorf("Request-Priority %q is not an integer from -%d to %d", text, maxPriority, maxPriority)
	}
	return p, nil
}

func parseFlag(text string) (bool, error) {
	if text == "" {
		return false, nil
	}
	v, err := strconv.ParseBool(text)
	if err != nil {
		return false, errors.Errorf("Non-Idempotent %q is neither true nor false", text)
	}
	return v, nil
}

// parsePosition parses an event ID of the form run:offset.
func parsePosition(text string) (caller.Position, error) {
	if text == "" {
		return caller.Position{}, nil
	}
	i := strings.LastIndexByte(text, ':')
	if i < 0 {
		return caller.Position{}, errors.Errorf("Last-Event-ID %q has not the form run:offset", text)
	}
	offset, err := strconv.Atoi(text[i+1:])
	if err != nil || offset < 0 {
		return caller.Position{}, errors.Errorf("Last-Event-ID %q has no offset", text)
	}
	return caller.Position{Run: text[:i], Offset: offset}, nil
}

func formatPosition(run string, offset int) string { return run + ":" + strconv.Itoa(offset) }

func (h *Handler) resume(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
	team, ok := h.team(w, r)
	if !ok {
		return
	}
	position, err := parsePosition(r.Header.Get(headerLastEvent))
	if err != nil {
		h.refuse(w, malformed(err.Error()))
		return
	}
	key := team + "/" + ps.ByName("key")
	h.serve(w, r, func(conn uint64) node.Event {
		return node.CallerResume{Conn: conn, Key: key, Position: position}
	})
}

func (h *Handler) cancel(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
	team, ok := h.team(w, r)
	if !ok {
		return
	}
	h.cfg.Submit(node.CallerCancel{Key: team + "/" + ps.ByName("key")})
	w.WriteHeader(http.StatusAccepted)
}

// serve registers the connection, submits the caller's event and writes the
// answer in the form that the caller accepts.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request, event func(conn uint64) node.Event) {
	connection := h.cfg.Open()
	defer connection.Close()
	h.cfg.Submit(event(connection.ID))
	if strings.Contains(r.Header.Get("Accept"), "text/event-stream") {
		h.writeStream(w, r, connection)
		return
	}
	h.writeDocument(w, r, connection)
}

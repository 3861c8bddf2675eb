package operatorhttp

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"expvar"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"

	"monsoonlanding/internal/core/node"
	"monsoonlanding/internal/core/operator"
	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/upstream"
)

const (
	// maxRulesBytes bounds a rules text, which must fit into one platform object.
	maxRulesBytes = 512 << 10
	// applyTimeout bounds the wait for the platform when rules are replaced.
	applyTimeout = 10 * time.Second
)

// Status is a node's view of the system.
type Status struct {
	Node          string `json:"node"`
	Zone          string `json:"zone"`
	Leaving       bool   `json:"leaving"`
	RulesRevision uint64 `json:"rules_revision"`
	// Revisions maps each node to the last known revision of its rules in force.
	Revisions map[string]uint64   `json:"revisions"`
	Members   []peer.Member       `json:"members"`
	Upstreams []upstream.Upstream `json:"upstreams"`
	Usage     node.Usage          `json:"usage"`
}

// Rules is the answer to GET /v1/rules.
type Rules struct {
	Revision uint64 `json:"revision"`
	Text     string `json:"text"`
}

// ApplyResult is the answer to PUT /v1/rules.
type ApplyResult struct {
	Outcome  node.ApplyOutcome  `json:"outcome"`
	Revision uint64             `json:"revision"`
	Problems []operator.Problem `json:"problems,omitempty"`
	// Text is the text of the current revision, set after a conflict.
	Text string `json:"text,omitempty"`
}

// Notice is the body of a reclaim notice.
type Notice struct {
	Until time.Time `json:"until"`
}

// Config holds the dependencies of a Handler.
type Config struct {
	Token string
	// Submit passes an event to the node.
	Submit func(node.Event)
	Status func() Status
	Rules  func() Rules
	Moves  func() []node.MoveStatus
	// Apply passes an operator's new rules to the node and waits for the outcome.
	Apply func(ctx context.Context, request node.ApplyRules) (ApplyResult, error)
	// History returns the accepted revisions of the rules, oldest first.
	History func(ctx context.Context) ([]node.Document, error)
	// Ready reports whether the node serves callers.
	Ready func() bool
}

// Handler serves operators.
type Handler struct{ cfg Config }

// New returns a handler.
func New(cfg Config) *Handler { return &Handler{cfg: cfg} }

// Routes returns an HTTP handler for all paths.
func (h *Handler) Routes() http.Handler {
	r := httprouter.New()
	r.GET("/healthz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { _, _ = io.WriteString(w, "ok\n") })
	r.GET("/readyz", h.ready)
	r.GET("/v1/status", h.requireToken(h.status))
	r.GET("/v1/moves", h.requireToken(h.moves))
	r.GET("/v1/rules", h.requireToken(h.rules))
	r.PUT("/v1/rules", h.requireToken(h.apply))
	r.GET("/v1/rules/history", h.requireToken(h.history))
	r.POST("/v1/notice", h.requireToken(h.notice))
	r.POST("/v1/upstreams/:id/notice", h.requireToken(h.upstreamNotice))
	r.GET("/debug/vars", h.requireToken(func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) { expvar.Handler().ServeHTTP(w, r) }))
	return r
}

// requireToken rejects requests without the operators' token.
func (h *Handler) requireToken(next httprouter.Handle) httprouter.Handle {
	want := []byte("Bearer " + h.cfg.Token)
	return func(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), want) != 1 {
			writeError(w, http.StatusUnauthorized, "wrong or missing operator token")
			return
		}
		next(w, r, ps)
	}
}

func (h *Handler) ready(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if !h.cfg.Ready() {
		writeError(w, http.StatusServiceUnavailable, "not ready: leaving, or without rules")
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

func (h *Handler) status(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, http.StatusOK, h.cfg.Status())
}

func (h *Handler) moves(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, http.StatusOK, h.cfg.Moves())
}

func (h *Handler) rules(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, http.StatusOK, h.cfg.Rules())
}

func (h *Handler) history(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	list, err := h.cfg.History(r.Context())
	if err != nil {
		writeError(w, http.StatusBadGateway, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, list)
}

func (h *Handler) apply(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	base, err := strconv.ParseUint(r.URL.Query().Get("base"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "base must be the revision that was edited")
		return
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRulesBytes))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, "rules are limited to 512 KiB")
		return
	}
	edit := r.URL.Query().Get("edit")
	if edit == "" {
		edit = uuid.NewString()
	}
	ctx, cancel := context.WithTimeout(r.Context(), applyTimeout)
	defer cancel()
	result, err := h.cfg.Apply(ctx, node.ApplyRules{Base: base, Text: string(text), Edit: edit, Author: r.URL.Query().Get("author")})
	if err != nil {
		writeError(w, http.StatusGatewayTimeout, err.Error())
		return
	}
	writeJSON(w, applyStatus(result.Outcome), result)
}

func applyStatus(o node.ApplyOutcome) int {
	switch o {
	case node.ApplyAccepted:
		return http.StatusOK
	case node.ApplyConflict:
		return http.StatusConflict
	case node.ApplyInvalid:
		return http.StatusUnprocessableEntity
	}
	return http.StatusServiceUnavailable
}

func (h *Handler) notice(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	if n, ok := readNotice(w, r); ok {
		h.cfg.Submit(node.NodeReclaimNotice{Until: n.Until})
		w.WriteHeader(http.StatusAccepted)
	}
}

func (h *Handler) upstreamNotice(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
	if n, ok := readNotice(w, r); ok {
		h.cfg.Submit(node.UpstreamReclaimNotice{Upstream: ps.ByName("id"), Until: n.Until})
		w.WriteHeader(http.StatusAccepted)
	}
}

func readNotice(w http.ResponseWriter, r *http.Request) (Notice, bool) {
	var n Notice
	if err := json.NewDecoder(io.LimitReader(r.Body, 1024)).Decode(&n); err != nil || n.Until.IsZero() {
		writeError(w, http.StatusBadRequest, `the body must be {"until": TIME}`)
		return n, false
	}
	return n, true
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, detail string) {
	writeJSON(w, status, struct {
		Error string `json:"error"`
	}{detail})
}

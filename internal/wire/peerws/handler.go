package peerws

import (
	"context"
	"crypto/subtle"
	"net/http"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"monsoonlanding/internal/core/peer"
)

// Handler accepts connections from peers.
type Handler struct {
	self  string
	token string
	codec *Codec
	// receive is called for each message. For each connection, it is first called
	// with a Ping that contains the sender's member record from the first frame.
	receive func(from string, m peer.Message)
	log     zerolog.Logger
}

// NewHandler returns a handler for Path.
func NewHandler(self, token string, codec *Codec, receive func(from string, m peer.Message), log zerolog.Logger) *Handler {
	return &Handler{self: self, token: token, codec: codec, receive: receive, log: log}
}

// ServeHTTP upgrades an authenticated connection and reads messages until it
// ends.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	want := "Bearer " + h.token
	if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte(want)) != 1 {
		http.Error(w, "peer: wrong token", http.StatusUnauthorized)
		return
	}
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer func() { _ = conn.CloseNow() }()
	conn.SetReadLimit(maxFrameBytes)
	h.read(r.Context(), conn, r.RemoteAddr)
}

func (h *Handler) read(ctx context.Context, conn *websocket.Conn, remote string) {
	frame, err := readFrame(ctx, conn)
	if err != nil {
		return
	}
	var first hello
	if err := cbor.Unmarshal(frame, &first); err != nil || first.To != "" && first.To != h.self {
		h.log.Warn().Str("step", "peer").Str("peer", remote).Msg("rejected connection: first frame is invalid or names another process as receiver")
		_ = conn.Close(websocket.StatusPolicyViolation, "not the intended receiver")
		return
	}
	from := first.From.ID
	h.receive(from, peer.Ping{Members: []peer.Member{first.From}})
	for {
		frame, err := readFrame(ctx, conn)
		if err != nil {
			return
		}
		m, err := h.codec.Decode(frame)
		if err != nil {
			h.log.Warn().Str("step", "peer").Str("peer", from).Err(err).Msg("cannot decode message, connection closed")
			return
		}
		h.receive(from, m)
	}
}

// readFrame reads the next frame. A peer closes its connection after idleTimeout, so that one
// which stays open without a frame for longer has gone silent.
func readFrame(ctx context.Context, conn *websocket.Conn) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, idleTimeout+dialTimeout)
	defer cancel()
	_, frame, err := conn.Read(ctx)
	return frame, err
}

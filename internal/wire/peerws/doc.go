// Package peerws carries messages between nodes over WebSocket in CBOR.
//
// # Connections
//
// A node opens one connection to each peer, when it has the first message for
// it, and authenticates with the shared token of all nodes. The peer sends its
// own messages on a connection that it opens itself. The first frame identifies
// the sender and the intended receiver, so that a process does not accept
// messages for an earlier process at the same address.
//
// # Usage
//
//	pool := peerws.New(peerws.Config{Self: self, Token: token, Codec: codec, OnFailure: onFailure, OnSend: onSend, Log: log})
//	pool.Send("node-b", "127.0.0.1:7001", peer.Ping{Seq: 1})
//	http.Handle(peerws.Path, peerws.NewHandler(self.ID, token, codec, receive, log))
package peerws

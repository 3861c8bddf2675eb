// Package boundedtcp is a TCP listener for HTTP servers whose clients can't be trusted.
//
// It bounds the number of connections and the memory for heads of requests, which net/http parses
// before a handler can decide anything. A head of short lines takes many times its bytes once it
// is parsed. At the bound a new connection takes the place of the one whose request has been
// unfinished, or that has been idle, for the longest time; a connection whose request has been read
// keeps its place.
//
// # Usage
//
//	l := boundedtcp.New(listener, boundedtcp.Config{MaxConns: 1000, Heads: budget, ...})
//	server := &http.Server{ConnContext: boundedtcp.WithConn, ConnState: boundedtcp.ConnState}
//	server.Serve(l)
//
// A handler calls Conn.HeadRead when it starts and Conn.RequestRead when it has read the whole
// request.
package boundedtcp

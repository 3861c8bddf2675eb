// Package operatorhttp serves operators over HTTP.
//
//	GET  /healthz, /readyz         without a token
//	GET  /v1/status                the node's view of the system
//	GET  /v1/moves                 the traffic moves and their states
//	GET  /v1/rules                 the rules in force
//	PUT  /v1/rules?base=REV        replace the rules if their revision is REV
//	GET  /v1/rules/history         the accepted revisions of the rules, oldest first
//	POST /v1/notice                announce the reclaim of this node
//	POST /v1/upstreams/{id}/notice announce the reclaim of an upstream
//	GET  /debug/vars               counters
//
// All paths except /healthz and /readyz require the operators' bearer token.
//
// # Usage
//
//	h := operatorhttp.New(operatorhttp.Config{...})
//	http.ListenAndServe(address, h.Routes())
//
// Client is the matching client.
package operatorhttp

package gateway

import (
	"monsoonlanding/internal/core/placement"
	"monsoonlanding/internal/core/route"
)

// dispatch sends the request to an upstream that has capacity, if there is one.
func (g *Gateway) dispatch(r *request) bool {
	if g.passOn(r) {
		return true
	}
	service, ok := g.table.Service(r.service)
	if !ok {
		return false
	}
	query := g.query(r, service)
	u, ok := g.upstreams.Pick(g.now, query)
	if !ok && query.Version != "" {
		query.Version, query.NotVersion = "", query.Version
		u, ok = g.upstreams.Pick(g.now, query)
	}
	if !ok {
		return false
	}
	g.dispatchTo(r, u, KVCache{})
	return true
}

// dispatchTo sends the request to the upstream. The upstream continues from the
// KV cache of the previous run if from is set.
func (g *Gateway) dispatchTo(r *request, u placement.Upstream, from KVCache) {
	if !g.startAttempt(r) {
		return
	}
	r.upstream = u
	r.began, r.relay = false, ""
	r.dispatchedAt = g.now
	r.versionDraw = 0
	r.process, r.sound = processID(u), false
	r.continuesRun, r.from, r.counted, r.paced = from != (KVCache{}), from, notCounted, false
	if r.attempt == 1 {
		g.observe(TimeWaited, r)
	}
	prompt := r.req.Prompt
	service, ok := g.table.Service(r.service)
	engine := ok && service.Engine != nil
	if !engine {
		prompt = placement.Prompt{}
	}
	load, pauseLeft := g.upstreams.Load(u.ID), g.upstreams.PauseLeft(g.now, u)
	if g.upstreams.ColdLeft(g.now, u.ID) > 0 {
		g.count(CountCold, u.Service)
	}
	if g.missing[u.ID] {
		g.count(CountMissing, u.Service)
	}
	g.upstreams.RecordStart(g.now, u.ID, r.conn, prompt)
	g.upstreams.RecordGoals(u.ID, r.conn, r.route.Name, r.route.LatencyGoal, r.route.MaxPause)
	if from != (KVCache{}) {
		g.upstreams.RecordCacheMove(u.ID, r.conn)
	}
	g.emit(Dispatch{
		Conn:         r.conn,
		Attempt:      r.attempt,
		Upstream:     u,
		Team:         r.teamName(),
		Deadline:     r.deadline,
		Urgency:      r.urgency(),
		From:         from,
		MaxIdleConns: g.maxIdleConns(service, u),
		Streaming:    r.isStreaming(),
		Resumable:    r.route.Resumable,
		EngineWork:   engine,
	})
	g.logRequest(r, "place", "dispatched", "upstream", u.ID, "attempt", r.attempt, "moved", from != (KVCache{}),
		"running", load.Running, "prefill", load.Prefill, "pause_ms", pauseLeft.Milliseconds(), "input", r.req.Prompt.InputTokens,
		"waited_ms", g.now.Sub(r.arrived).Milliseconds(), "missing", g.missing[u.ID],
		"list_age_ms", g.now.Sub(g.upstreamsCurrentAt).Milliseconds(), "config", g.table.Version())
}

// maxIdleConns returns this node's part of the connections that an upstream accepts
// from all nodes beyond those that its slots need.
func (g *Gateway) maxIdleConns(service *route.Service, u placement.Upstream) int {
	if service == nil || service.MaxConnections <= 0 {
		return 0
	}
	return max((service.MaxConnections-u.Slots)/(len(g.members)+1), 1)
}

// lowestUrgency is the value of the lowest urgency that engines accept; 0 is
// the highest urgency.
const lowestUrgency = 9

func (g *Gateway) query(r *request, service *route.Service) placement.Query {
	q := placement.Query{Service: r.service, Route: r.route.Name, Exclude: r.exclude, ColdCost: g.coldCost(r)}
	g.chooseVersion(&q, r)
	if service.Engine == nil {
		return q
	}
	q.Prompt = r.req.Prompt
	q.Slots = service.Engine.Slots
	q.MemoryTokens = service.Engine.MemoryTokens
	q.MaxWait = g.maxWait(r)
	q.UrgentWait = g.urgentWait(r)
	return q
}

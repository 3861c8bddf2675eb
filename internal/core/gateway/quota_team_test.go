package gateway

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/placement"
	"monsoonlanding/internal/core/route"
)

// teamLoad is the load of a team whose demand jumps to several times its usual one, beside a
// team that sends its usual load. The first team sends kinds of requests that differ in cost and
// priority; requests come to all nodes, or those of the surge to a few.
type teamLoad struct {
	nodes, hotNodes int
	rate            float64
	// factor is the demand during the surge in parts of the quota; before, it is usualDemand.
	factor float64
	// cutAt, restartAt: half of the nodes is cut off, nodes are restarted; zero for never.
	cutAt, restartAt time.Duration
	restarted        int
	// length is the length of the surge, surgeLength if it is 0.
	length time.Duration
	// delay is the longest time that a status takes.
	delay time.Duration
	seed  uint64
}

const (
	usualDemand = 1 / 1.8
	surgeStart  = 1500 * time.Millisecond
	surgeRise   = 500 * time.Millisecond
	surgeLength = 5 * time.Second
	afterSurge  = 500 * time.Millisecond
	teamSlack   = 140_000
	teamOver    = 0.1
)

// teamKind is a kind of request, ordered by priority.
type teamKind struct {
	path   string
	tokens int
	weight float64
}

var teamKinds = []teamKind{{"/ask/1", 1_100, 161}, {"/plan/1", 2_400, 330}, {"/digest/1", 12_400, 158}}

// kindCount counts the requests of a kind during the surge.
type kindCount struct {
	asked, refused, withinQuota int
	// large counts the largest tenth, which has twice the usual size.
	large, largeRefused int
}

// teamResult is what the load's requests met.
type teamResult struct {
	kinds [3]kindCount
	// used is the part of the quota that was admitted until the surge ended, greatest the
	// greatest part of the operators' bound that was admitted in a window.
	used, greatest float64
	otherRefused   int
	messages       int
}

// refusedWithinQuota is the part of all requests of the surge that were refused while the whole
// system had quota left for them.
func (r teamResult) refusedWithinQuota() float64 {
	asked, refused := 0, 0
	for _, k := range r.kinds {
		asked, refused = asked+k.asked, refused+k.withinQuota
	}
	return float64(refused) / float64(asked)
}

func (k kindCount) served() float64 { return 1 - float64(k.refused)/float64(max(k.asked, 1)) }

func (r teamResult) String() string {
	s := fmt.Sprintf("used %.3f, greatest window %.3f of the bound, refused within quota %.3f, others refused %d, messages %d; served by kind",
		r.used, r.greatest, r.refusedWithinQuota(), r.otherRefused, r.messages)
	for _, k := range r.kinds {
		s += fmt.Sprintf(" %.3f (%d, largest tenth %.3f)", k.served(), k.asked, 1-float64(k.largeRefused)/float64(max(k.large, 1)))
	}
	return s
}

type delayedStatus struct {
	at   time.Time
	from string
	to   string
	send Send
}

// teamWorld plays a teamLoad.
type teamWorld struct {
	teamLoad
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	nodes   map[string]*bench
	names   []string
	config  route.Config
	engines []placement.Upstream
	queued  []delayedStatus
	result  teamResult
	// admitted holds the admitted costs by time; level is that of a bucket that knows all.
	admittedAt []time.Time
	admitted   []float64
	level      float64
}

func newTeamWorld(t *testing.T, l teamLoad) *teamWorld {
	l.length = cmp.Or(l.length, surgeLength)
	w := &teamWorld{teamLoad: l, t: t, rng: rand.New(rand.NewPCG(uint64(l.nodes), l.seed)), now: epoch, nodes: make(map[string]*bench), level: l.rate}
	w.config = testConfig(1)
	w.config.Teams[0].Rate, w.config.Teams[0].Burst = l.rate, l.rate
	w.config.Teams = append(w.config.Teams, route.Team{Name: "green", Keys: []string{"g"}, Unit: route.UnitTokens, DefaultTokens: 100, Rate: l.rate, Burst: l.rate})
	w.config.Routes = append(w.config.Routes, route.Route{
		Name: "digest", Host: "h", PathPrefix: "/digest/", Kind: route.KindStreaming,
		Timeout: 10 * time.Second, LatencyGoal: time.Second, Attempts: 1, Priority: 2, Targets: []route.Target{{Service: "model"}},
	})
	for i := range 20 {
		w.engines = append(w.engines, up(fmt.Sprint("m", i), "model"))
	}
	for i := range l.nodes {
		w.names = append(w.names, fmt.Sprintf("n%03d", i))
	}
	for _, name := range w.names {
		w.start(name, 1)
	}
	return w
}

// start starts a process on a node; one that is not the first knows nothing.
func (w *teamWorld) start(name string, process int64) {
	n := newBench(w.t, name)
	n.now = w.now
	n.g.cfg.Start, n.g.cfg.FirstStart = process, process == 1
	n.g.cfg.Bounds.QuotaOver, n.g.cfg.Bounds.QuotaSlack = teamOver, teamSlack
	n.g.rng = rand.New(rand.NewPCG(w.rng.Uint64(), w.seed))
	w.nodes[name] = n
	n.reduce(ConfigRead{Config: w.config, Body: []byte("1")})
	n.reduce(RolloutsChanged{})
	n.list(w.engines...)
	var entries []NodeEntry
	for _, other := range w.names {
		entries = append(entries, NodeEntry{Node: other, PeerAddress: other + ":2"})
		if process == 1 {
			n.receive(status(other))
		}
	}
	n.reduce(NodesListed{Nodes: entries})
}

// isCut reports whether no message passes between two nodes.
func (w *teamWorld) isCut(a, b string) bool {
	if w.cutAt == 0 || w.now.Before(epoch.Add(w.cutAt)) {
		return false
	}
	return a < w.names[w.half()] != (b < w.names[w.half()])
}

func (w *teamWorld) half() int { return len(w.names) / 2 }

func (w *teamWorld) send(from string, effects []Effect) {
	for _, e := range effects {
		if s, ok := e.(Send); ok && w.nodes[s.Node] != nil {
			w.result.messages++
			if w.isCut(from, s.Node) {
				continue
			}
			at := w.now.Add(time.Duration(w.rng.Float64() * float64(w.delay)))
			w.queued = append(w.queued, delayedStatus{at, from, s.Node, s})
		}
	}
}

func (w *teamWorld) deliver() {
	queued := w.queued
	w.queued = nil
	for _, d := range queued {
		if d.at.After(w.now) {
			w.queued = append(w.queued, d)
			continue
		}
		to := w.nodes[d.to]
		to.now = w.now
		w.send(d.to, to.reduce(PeerReceived{From: d.from, Message: d.send.Message}))
	}
}

// demand returns the team's demand in units a second.
func (w *teamWorld) demand() float64 {
	since := w.now.Sub(epoch) - surgeStart
	if since < 0 || since > w.length {
		return usualDemand * w.rate
	}
	rise := min(1, float64(since)/float64(surgeRise))
	return (usualDemand + rise*(w.factor-usualDemand)) * w.rate
}

func (w *teamWorld) inSurge() bool {
	since := w.now.Sub(epoch) - surgeStart
	return since >= 0 && since < w.length
}

// request sends one request of the team.
func (w *teamWorld) request(kind int) {
	k := teamKinds[kind]
	tokens, large := k.tokens, w.rng.Float64() < 0.1
	if large {
		tokens *= 2
	}
	count := &w.result.kinds[kind]
	refused := w.submit(k.path, "k", tokens, w.inSurge())
	if !refused {
		w.admittedAt, w.admitted = append(w.admittedAt, w.now), append(w.admitted, float64(tokens))
	}
	if w.inSurge() {
		count.asked++
		if large {
			count.large++
		}
		if refused {
			count.refused++
			if large {
				count.largeRefused++
			}
			if w.level >= float64(tokens) {
				count.withinQuota++
			}
		}
	}
	if !refused {
		w.level -= float64(tokens)
	}
}

func (w *teamWorld) submit(path, key string, tokens int, hot bool) (refused bool) {
	name := w.names[w.rng.IntN(len(w.names))]
	if hot && w.hotNodes > 0 && w.rng.Float64() > usualDemand/w.factor {
		name = w.names[w.rng.IntN(w.hotNodes)]
	}
	n := w.nodes[name]
	n.now = w.now
	conn, effects := n.submit(Request{Path: path, Key: key, Prompt: placement.Prompt{InputTokens: tokens - 100, MaxOutputTokens: 100}})
	w.send(name, effects)
	if refusal(effects) == ReasonQuota {
		return true
	}
	qt.Assert(w.t, has(Dispatch{}, effects), qt.IsTrue)
	n.reduce(Ended{Conn: conn, Attempt: 1, Result: ResultComplete})
	return false
}

func (w *teamWorld) play() teamResult {
	const step = 20 * time.Millisecond
	totalWeight, mean := 0.0, 0.0
	for _, k := range teamKinds {
		totalWeight += k.weight
		mean += k.weight * float64(k.tokens) * 1.1
	}
	mean /= totalWeight
	owedDemand, other := 0.0, 0.0
	for i := 0; w.now.Before(epoch.Add(surgeStart + w.length + afterSurge)); i++ {
		w.now = epoch.Add(time.Duration(i) * step)
		w.level = min(w.level+w.rate*step.Seconds(), w.rate)
		w.deliver()
		if w.restartAt > 0 && i == int(w.restartAt/step) {
			for _, name := range w.names[:w.restarted] {
				w.start(name, 2)
			}
		}
		units := w.demand() * step.Seconds()
		owedDemand += units
		for n := w.poisson(units / mean); n > 0; n-- {
			w.request(w.drawKind(totalWeight))
		}
		other += usualDemand * w.rate * step.Seconds() / mean
		for ; other >= 1; other-- {
			if w.submit("/ask/1", "g", int(mean), false) {
				w.result.otherRefused++
			}
		}
		for j, name := range w.names {
			if (i+j)%int(TickInterval/step) == 0 {
				n := w.nodes[name]
				n.now = w.now
				w.send(name, n.reduce(Tick{}))
			}
		}
	}
	w.account()
	return w.result
}

func (w *teamWorld) poisson(mean float64) int {
	n := 0
	for at := w.rng.ExpFloat64(); at < mean; at += w.rng.ExpFloat64() {
		n++
	}
	return n
}

func (w *teamWorld) drawKind(total float64) int {
	draw := w.rng.Float64() * total
	for i, k := range teamKinds {
		if draw -= k.weight; draw < 0 {
			return i
		}
	}
	return 0
}

// account sums up what was admitted.
func (w *teamWorld) account() {
	window := testBounds().QuotaWindow
	bound := (w.rate*window.Seconds()+w.rate)*(1+teamOver) + teamSlack
	surge, first, sum := 0.0, 0, 0.0
	for i, at := range w.admittedAt {
		if since := at.Sub(epoch) - surgeStart; since >= 0 && since < w.length {
			surge += w.admitted[i]
		}
		sum += w.admitted[i]
		for at.Sub(w.admittedAt[first]) >= window {
			sum -= w.admitted[first]
			first++
		}
		w.result.greatest = max(w.result.greatest, sum/bound)
	}
	w.result.used = surge / (w.rate * (1 + w.length.Seconds()))
}

func (l teamLoad) name() string {
	return fmt.Sprintf("%d nodes, %d hot, %.0f a second, factor %.1f, cut %v, %d restarted", l.nodes, l.hotNodes, l.rate, l.factor, l.cutAt, l.restarted)
}

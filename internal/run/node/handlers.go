package node

import (
	"context"
	"sync"

	"github.com/go-faster/errors"

	"monsoonlanding/internal/core/node"
	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/wire/callerhttp"
	"monsoonlanding/internal/wire/operatorhttp"
)

// callerHandler connects the callers' API to the reducer.
func (r *Runner) callerHandler() *callerhttp.Handler {
	return callerhttp.New(callerhttp.Config{
		Clock:     r.cfg.Clock,
		Submit:    r.submit,
		Open:      r.conns.open,
		Team:      r.team,
		Addresses: r.addressesFor,
		OnRefusal: countRefusal,
	})
}

func (r *Runner) team(key string) (team string, known, ready bool) {
	r.inspect(func(n *node.Node) {
		rules, _ := n.Rules()
		ready = !rules.Empty()
		team, known = rules.TeamByKey(key)
	})
	return team, known, ready
}

// addressesFor returns the addresses of the usable nodes, those of this node's
// region first. Their order depends on the caller's name, so that callers spread
// over the nodes.
func (r *Runner) addressesFor(name string) []callerhttp.Address {
	var usable []peer.Member
	r.inspect(func(n *node.Node) {
		for _, m := range n.Members() {
			if m.Usable() {
				usable = append(usable, m)
			}
		}
	})
	list := []callerhttp.Address{}
	for _, m := range peer.RankRegionFirst(name, r.self.Region, usable) {
		list = append(list, callerhttp.Address{Address: m.CallerAddress, Zone: m.Zone})
	}
	return list
}

// operatorHandler connects the operators' API to the reducer.
func (r *Runner) operatorHandler() *operatorhttp.Handler {
	return operatorhttp.New(operatorhttp.Config{
		Token:   r.cfg.Settings.Operator.Token,
		Submit:  r.submit,
		Status:  r.status,
		Rules:   r.rules,
		Moves:   r.moves,
		Apply:   r.apply,
		History: r.history,
		Ready:   r.ready,
	})
}

// status returns the node's status. It also requests the rules revisions of the
// other nodes; replies received after it returns show in the next status.
func (r *Runner) status() operatorhttp.Status {
	s := operatorhttp.Status{Node: r.self.ID, Zone: r.self.Zone}
	r.submit(node.RequestRevisions{})
	r.inspect(func(n *node.Node) {
		s.Leaving = n.Leaving()
		_, s.RulesRevision = n.Rules()
		s.Revisions = n.Revisions()
		s.Members = n.Members()
		s.Upstreams = n.Upstreams()
		s.Usage = n.Usage()
	})
	return s
}

func (r *Runner) rules() operatorhttp.Rules {
	var out operatorhttp.Rules
	r.inspect(func(n *node.Node) {
		rules, revision := n.Rules()
		out = operatorhttp.Rules{Revision: revision, Text: rules.Text()}
	})
	return out
}

func (r *Runner) moves() []node.MoveStatus {
	var list []node.MoveStatus
	r.inspect(func(n *node.Node) { list = n.Moves(r.cfg.Clock.Now()) })
	return list
}

func (r *Runner) ready() bool {
	ok := false
	r.inspect(func(n *node.Node) {
		rules, _ := n.Rules()
		ok = !rules.Empty() && !n.Leaving()
	})
	return ok
}

// history returns the changes of the rules. The text of its error is sent to the
// operator.
func (r *Runner) history(ctx context.Context) ([]node.Document, error) {
	list, err := r.objects.List(ctx, node.HistoryPrefix)
	if err != nil {
		return nil, err
	}
	documents := []node.Document{}
	for _, o := range list {
		d, err := node.DecodeDocument(o.Value)
		if err != nil {
			return nil, errors.Wrapf(err, "history: %s", o.Path)
		}
		documents = append(documents, d)
	}
	return documents, nil
}

// pendingApplies holds the operators' calls that wait for the outcome of a
// change of the rules.
type pendingApplies struct {
	mu       sync.Mutex
	lastCall uint64
	waiting  map[uint64]chan operatorhttp.ApplyResult
}

// apply submits a change of the rules and waits for its outcome. The text of its
// error is sent to the operator.
func (r *Runner) apply(ctx context.Context, request node.ApplyRules) (operatorhttp.ApplyResult, error) {
	outcome := make(chan operatorhttp.ApplyResult, 1)
	r.pendingApplies.mu.Lock()
	r.pendingApplies.lastCall++
	request.Call = r.pendingApplies.lastCall
	r.pendingApplies.waiting[request.Call] = outcome
	r.pendingApplies.mu.Unlock()
	defer func() {
		r.pendingApplies.mu.Lock()
		delete(r.pendingApplies.waiting, request.Call)
		r.pendingApplies.mu.Unlock()
	}()
	r.submit(request)
	select {
	case a := <-outcome:
		return a, nil
	case <-ctx.Done():
		return operatorhttp.ApplyResult{}, errors.Wrap(ctx.Err(), "apply rules: platform")
	}
}

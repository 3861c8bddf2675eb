package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"monsoonlanding/internal/core/node"
	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/platform"
)

// register writes the node's record and reads the list of all records, at the
// start and periodically afterwards.
func (r *Runner) register() {
	r.awaitRules()
	registered := false
	for {
		if !registered {
			registered = r.writeRecord()
		}
		// Other nodes remove the record if they consider this node dead. It is
		// then written again.
		listed, ok := r.listMembers()
		registered = registered && (listed || !ok)
		wait := registerInterval
		if !ok || !registered {
			wait = registerRetryInterval
		}
		// The jitter keeps many nodes from reading at the same time.
		wait += time.Duration(rand.Int64N(int64(wait)))
		if !r.cfg.Clock.Sleep(r.ctx, wait) {
			return
		}
	}
}

// awaitRules waits until the node has rules, so that callers are not sent to a
// node that can't serve them yet. It waits for rulesTimeout at most: the platform
// may be unreachable or have no rules yet, while peers may have them.
func (r *Runner) awaitRules() {
	for waited := time.Duration(0); waited < rulesTimeout; waited += rulesPollInterval {
		if r.ready() || !r.cfg.Clock.Sleep(r.ctx, rulesPollInterval) {
			return
		}
	}
}

func (r *Runner) writeRecord() bool {
	value, err := json.Marshal(r.self)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(r.ctx, platformTimeout)
	defer cancel()
	path := memberPathPrefix + r.self.ID
	if _, outcome := r.objects.Put(ctx, path, 0, value); outcome == platform.WriteOK {
		return true
	}
	// A write whose response was lost has taken effect if the record exists.
	o, err := r.objects.Get(ctx, path)
	return err == nil && o.Revision != 0
}

// listMembers reads the list of nodes and submits it. It reports whether this
// node is listed, and whether the list could be read.
func (r *Runner) listMembers() (listed, ok bool) {
	ctx, cancel := context.WithTimeout(r.ctx, platformTimeout)
	defer cancel()
	list, err := r.objects.List(ctx, memberPathPrefix)
	if err != nil {
		r.log.Warn().Str("step", "register").Str("peer", "platform").Err(err).Msg("cannot read the list of nodes")
		return false, false
	}
	var members []peer.Member
	for _, o := range list {
		var m peer.Member
		if json.Unmarshal(o.Value, &m) == nil {
			members = append(members, m)
			listed = listed || m.ID == r.self.ID
		}
	}
	r.submit(node.MembersListed{Members: members})
	return listed, true
}

func (r *Runner) deregister() { r.removeRecord(r.self.ID) }

// removeRecord removes a node's record. The node retries a failed removal when
// it next reads the list of nodes.
func (r *Runner) removeRecord(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), platformTimeout)
	defer cancel()
	if err := r.objects.Delete(ctx, memberPathPrefix+id); err != nil {
		r.log.Debug().Str("step", "register").Str("peer", "platform").Err(err).Msg("cannot remove a node's record")
	}
}

// watchNotice polls for the reclaim notice of this VM and submits it once.
func (r *Runner) watchNotice() {
	reported := false
	for r.cfg.Clock.Sleep(r.ctx, noticePollInterval) {
		ctx, cancel := context.WithTimeout(r.ctx, platformTimeout)
		until, found, err := r.cloud.Notice(ctx, r.cfg.Settings.Name)
		cancel()
		if err == nil && found && !reported {
			reported = true
			r.submit(node.NodeReclaimNotice{Until: until})
		}
	}
}

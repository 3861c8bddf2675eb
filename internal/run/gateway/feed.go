package gateway

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	core "monsoonlanding/internal/core/gateway"
	"monsoonlanding/internal/core/store"
)

const (
	// feedBackOff is the mean back-off after a failed call to the store.
	feedBackOff = 400 * time.Millisecond
	// turnCheckInterval is the interval at which a waiting node checks for an
	// assignment to watch the store.
	turnCheckInterval = 500 * time.Millisecond
)

// feedNodes names the list of nodes in the log. It is no feed, since nobody watches it.
const feedNodes core.FeedName = "nodes"

// followFeeds follows the feeds of the store: that of the evacuations only in deployments whose
// operators evacuate zones, since each call to the store counts.
func (r *Runner) followFeeds() {
	for _, f := range r.cfg.Services.Feeds {
		if f.Name != core.FeedEvacuations || evacuates(r.cfg.Settings) {
			r.keepRunning("feed "+string(f.Name), func() { r.follow(f) })
		}
	}
}

// follow submits the changes of a feed until the node stops.
func (r *Runner) follow(f Feed) {
	revision := store.Revision{}
	reported := ""
	for r.ctx.Err() == nil {
		changes, err := r.nextChanges(f, revision)
		switch {
		case errors.Is(err, errListDue):
			revision = store.Revision{}
		case errors.Is(err, ErrRelist):
			r.log.Info().Str("step", "feed").Str("feed", string(f.Name)).Int64("revision", revision.Number).Msg("change history lost, listing again")
			revision = store.Revision{}
		case err != nil:
			// Unlike a watch, a list returns as soon as the store is available
			// again.
			revision = store.Revision{}
			r.backOffFeed(f, err)
		default:
			revision = changes.Revision
			reported = r.logProblems(f, changes.Problems, reported)
			r.submitChanges(f, changes)
		}
	}
}

// errListDue ends a watch or a wait when the feed must be listed.
var errListDue = errors.New("list is due")

// nextChanges lists the feed if revision is zero. Otherwise it watches the feed if
// the node is assigned to watch; if not, it waits until the node's turn to list at
// the latest. It returns errListDue when the feed must be listed again.
func (r *Runner) nextChanges(f Feed, revision store.Revision) (Changes, error) {
	requested := r.relists[f.Name]
	if revision.IsZero() {
		requested.clear()
		return f.List(r.ctx)
	}
	ctx, cancel := context.WithCancelCause(r.ctx)
	defer cancel(nil)
	if requested.interrupt(cancel) {
		return Changes{}, errListDue
	}
	turn := r.turn(f.Name)
	if !turn.Watch {
		return Changes{}, r.awaitTurn(ctx, f.Name, turn)
	}
	changes, err := f.Watch(ctx, revision, turn.Wait)
	if errors.Is(context.Cause(ctx), errListDue) {
		return changes, errListDue
	}
	if err == nil && len(changes.Events) == 0 {
		// The watch may have missed changes, so the feed is listed as well.
		return changes, errListDue
	}
	return changes, err
}

// awaitTurn waits until the node's turn to list, or until the node is assigned
// to watch.
func (r *Runner) awaitTurn(ctx context.Context, feed core.FeedName, turn core.Turn) error {
	for end := r.cfg.Clock.Now().Add(turn.Wait); r.cfg.Clock.Now().Before(end) && !turn.Watch; turn = r.turn(feed) {
		wait := min(end.Sub(r.cfg.Clock.Now()), turnCheckInterval)
		if !r.cfg.Clock.Sleep(ctx, wait) {
			break
		}
	}
	return errListDue
}

// relist is a request to list a feed again. One that comes while the feed is being listed
// is for another list: what is being read may be older than the cause of the request.
type relist struct {
	mu  sync.Mutex
	due bool
	// cancel ends the current watch of the feed, or the wait instead of it.
	cancel context.CancelCauseFunc
}

func (q *relist) request() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.due = true
	if q.cancel != nil {
		q.cancel(errListDue)
	}
}

// clear removes the request when a list begins.
func (q *relist) clear() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.due, q.cancel = false, nil
}

// interrupt sets the function that a request calls. It reports whether there is a request
// already.
func (q *relist) interrupt(cancel context.CancelCauseFunc) (due bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.cancel = cancel
	return q.due
}

// relist requests that a feed is listed again.
func (r *Runner) relist(name core.FeedName) {
	if q := r.relists[name]; q != nil {
		q.request()
	}
}

func (r *Runner) turn(feed core.FeedName) core.Turn {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.FeedTurn(r.cfg.Clock.Now(), feed)
}

func (r *Runner) submitChanges(f Feed, c Changes) {
	if f.Main {
		r.submit(core.StoreRegained{})
	}
	for _, e := range c.Events {
		r.submit(e)
	}
}

// logProblems logs the problems of a feed unless their text equals reported, the
// text logged last: every list contains the same invalid entries again. It
// returns the text logged last.
func (r *Runner) logProblems(f Feed, problems []error, reported string) string {
	if len(problems) == 0 {
		return reported
	}
	texts := make([]string, 0, len(problems))
	for _, problem := range problems {
		texts = append(texts, problem.Error())
	}
	text := strings.Join(texts, "; ")
	if text != reported {
		r.log.Warn().Str("step", "feed").Str("feed", string(f.Name)).Strs("problems", texts).Msg("entries not decoded")
	}
	return text
}

func (r *Runner) backOffFeed(f Feed, err error) {
	if r.ctx.Err() != nil {
		return
	}
	r.log.Warn().Str("step", "feed").Str("feed", string(f.Name)).Err(err).Msg("call to store failed")
	if f.Main {
		r.submit(core.StoreLost{})
	}
	r.cfg.Clock.Sleep(r.ctx, feedBackOff/2+rand.N(feedBackOff))
}

// followNodes reads the list of nodes periodically.
func (r *Runner) followNodes() {
	reported := ""
	for r.ctx.Err() == nil {
		listed, problems, err := r.cfg.Services.ListNodes(r.ctx)
		if err != nil {
			r.log.Warn().Str("step", "nodes").Err(err).Msg("list of nodes not read")
		} else {
			reported = r.logProblems(Feed{Name: feedNodes}, problems, reported)
			r.submit(listed)
		}
		interval := r.nodesInterval()
		r.cfg.Clock.Sleep(r.ctx, interval/2+rand.N(interval))
	}
}

func (r *Runner) nodesInterval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.NodesInterval()
}

package gateway

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/go-faster/errors"

	core "monsoonlanding/internal/core/gateway"
)

const (
	// feedRetry is the mean time between two calls to a failing store.
	feedRetry = 400 * time.Millisecond
	// turnInterval is the time between two looks whether a node has to watch.
	turnInterval = 500 * time.Millisecond
	// nodesInterval is the time between two readings of the list of nodes.
	nodesInterval = 5 * time.Second
)

// follow keeps the node up to date with a feed.
func (r *Runner) follow(f Feed) {
	revision := int64(0)
	told := ""
	for r.ctx.Err() == nil {
		changes, err := r.next(f, revision)
		switch {
		case errors.Is(err, errAsked):
			revision = 0
		case errors.Is(err, ErrRelist):
			r.log.Info().Str("step", "feed").Str("feed", f.Name).Int64("revision", revision).Msg("changes lost, listing again")
			revision = 0
		case err != nil:
			// A list, unlike a watch, is answered as soon as the store is back.
			revision = 0
			r.feedFailed(f, err)
		default:
			revision = changes.Revision
			told = r.reportProblems(f, changes.Problems, told)
			r.feedTold(f, changes)
		}
	}
}

// errAsked says that it is time to list the feed.
var errAsked = errors.New("list asked for")

// next lists the feed if revision is 0. Else it watches it, or waits, until
// the node's turn to list it.
func (r *Runner) next(f Feed, revision int64) (Changes, error) {
	if revision == 0 {
		return f.List(r.ctx)
	}
	ctx, cancel := context.WithCancelCause(r.ctx)
	defer cancel(nil)
	if f.Main {
		r.cancelWatch.Store(&cancel)
	}
	turn := r.turn()
	if !turn.Watch {
		return Changes{}, r.awaitTurn(ctx, turn)
	}
	changes, err := f.Watch(ctx, revision, turn.Wait)
	if errors.Is(context.Cause(ctx), errAsked) {
		return changes, errAsked
	}
	if err == nil && len(changes.Events) == 0 {
		// The watch may have missed changes.
		return changes, errAsked
	}
	return changes, err
}

// awaitTurn waits until it is time to list, or until the node has to watch.
func (r *Runner) awaitTurn(ctx context.Context, turn core.Turn) error {
	for end := r.cfg.Clock.Now().Add(turn.Wait); r.cfg.Clock.Now().Before(end) && !turn.Watch; turn = r.turn() {
		wait := min(end.Sub(r.cfg.Clock.Now()), turnInterval)
		if !r.cfg.Clock.Sleep(ctx, wait) {
			break
		}
	}
	return errAsked
}

// listUpstreams lists the main feed anew.
func (r *Runner) listUpstreams() {
	if cancel := r.cancelWatch.Load(); cancel != nil {
		(*cancel)(errAsked)
	}
}

func (r *Runner) turn() core.Turn {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Turn(r.cfg.Clock.Now())
}

func (r *Runner) feedTold(f Feed, c Changes) {
	if f.Main {
		r.submit(core.StoreBack{})
	}
	for _, e := range c.Events {
		r.submit(e)
	}
}

// reportProblems logs the entries that can't be read unless they were told
// last, since lists name them again and again. It returns what was told last.
func (r *Runner) reportProblems(f Feed, problems []error, told string) string {
	if len(problems) == 0 {
		return told
	}
	texts := make([]string, 0, len(problems))
	for _, problem := range problems {
		texts = append(texts, problem.Error())
	}
	text := strings.Join(texts, "; ")
	if text != told {
		r.log.Warn().Str("step", "feed").Str("feed", f.Name).Strs("problems", texts).Msg("entries can't be read")
	}
	return text
}

func (r *Runner) feedFailed(f Feed, err error) {
	if r.ctx.Err() != nil {
		return
	}
	r.log.Warn().Str("step", "feed").Str("feed", f.Name).Err(err).Msg("store does not answer")
	if f.Main {
		r.submit(core.StoreLost{})
	}
	r.cfg.Clock.Sleep(r.ctx, feedRetry/2+rand.N(feedRetry))
}

// followNodes reads the list of nodes from time to time.
func (r *Runner) followNodes() {
	for r.ctx.Err() == nil {
		listed, err := r.cfg.Services.ListNodes(r.ctx)
		if err != nil {
			r.log.Warn().Str("step", "nodes").Err(err).Msg("list of nodes not read")
		} else {
			r.submit(listed)
		}
		r.cfg.Clock.Sleep(r.ctx, nodesInterval/2+rand.N(nodesInterval))
	}
}

package fleet

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/takeover"
)

// preparePromotion selects the member to promote, records the intent and ends all work at
// the old primary. It reports whether the promotion may be requested.
func (f *Daemon) preparePromotion(x context.Context, g *group, old string, planned bool) (takeover.MemberStatus, bool) {
	n, ok := f.syncReplicas(g)
	switch {
	case !ok:
		f.config.Log.Warn("primary not replaced: no configuration is known", "group", g.name, "primary", old)
		return takeover.MemberStatus{}, false
	case n > 0:
		return f.prepareSynchronous(x, g, old, planned)
	default:
		return f.prepareAsynchronous(x, g, old, planned)
	}
}

// prepareAsynchronous is preparePromotion for a group that acknowledges commits before
// replicas have them.
func (f *Daemon) prepareAsynchronous(x context.Context, g *group, old string, planned bool) (takeover.MemberStatus, bool) {
	var w errgroup.Group
	var intended bool
	w.Go(func() error {
		intended = f.recordIntent(x, g)
		return nil
	})
	if planned {
		f.awaitTransactions(x, old)
	}
	a, ok := f.selectPromotionTarget(x, g, old, planned)
	_ = w.Wait()
	switch {
	case ok && intended:
		f.endPrimaryWork(g, old)
	case intended:
		f.recordPrimary(x, g)
	}
	return a, ok && intended
}

// prepareSynchronous is preparePromotion for a group whose commits wait for replicas. The
// member is selected again once nothing is acknowledged any more; the first selection
// avoids that work is ended in vain.
func (f *Daemon) prepareSynchronous(x context.Context, g *group, old string, planned bool) (takeover.MemberStatus, bool) {
	if planned {
		f.awaitTransactions(x, old)
	}
	if a, ok := f.selectPromotionTarget(x, g, old, planned); !ok {
		return a, false
	}
	if !f.recordIntent(x, g) {
		return takeover.MemberStatus{}, false
	}
	f.endPrimaryWork(g, old)
	a, ok := f.selectPromotionTarget(x, g, old, planned)
	if !ok {
		f.recordPrimary(x, g)
	}
	return a, ok
}

// endPrimaryWork ends all work at a primary, so that nothing that it commits from now on is
// acknowledged.
func (f *Daemon) endPrimaryWork(g *group, id string) {
	f.mu.Lock()
	g.Handle(takeover.WorkEnded{}, now())
	f.mu.Unlock()
	f.killPool(id)
}

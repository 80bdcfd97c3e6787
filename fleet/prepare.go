package fleet

import (
	"context"

	"github.com/dragonflypick/dragonflypick/takeover"
)

// selection is the member that is to be the primary.
type selection struct {
	takeover.MemberStatus
	// leads is set if it is the primary already.
	leads bool
	// statuses are those by which it was selected.
	statuses []takeover.MemberStatus
}

// preparePromotion selects the member to promote, records the intent and ends all work at
// the old primary. It reports whether the promotion may be requested.
func (f *Daemon) preparePromotion(x context.Context, g *group, old string, planned bool) (selection, bool) {
	n, ok := f.syncReplicas(g)
	if !ok {
		f.config.Log.Warn("primary not replaced: no configuration is known", "group", g.name, "primary", old)
		return selection{}, false
	}
	if planned {
		f.awaitTransactions(x, old)
	}
	a, ok := f.selectPromotionTarget(x, g, old, planned)
	if !ok || !a.leads && !f.recordIntent(x, g, a) {
		return selection{}, false
	}
	f.endPrimaryWork(g, old)
	if n == 0 || a.leads {
		return a, true
	}
	return f.selectAgain(x, g, old, planned, a)
}

// selectAgain selects the member to promote once nothing is acknowledged any more, in a
// group whose commits wait for replicas. The first selection avoids that work is ended in
// vain.
func (f *Daemon) selectAgain(x context.Context, g *group, old string, planned bool, first selection) (selection, bool) {
	a, ok := f.selectPromotionTarget(x, g, old, planned)
	switch {
	case !ok:
		f.recordPrimary(x, g)
		return a, false
	case a.leads || a.Member.ID == first.Member.ID:
		return a, true
	default:
		return a, f.recordIntent(x, g, a)
	}
}

// endPrimaryWork ends all work at a primary, so that nothing that it commits from now on is
// acknowledged.
func (f *Daemon) endPrimaryWork(g *group, id string) {
	f.mu.Lock()
	g.Handle(takeover.WorkEnded{}, now())
	f.mu.Unlock()
	f.killPool(id)
}

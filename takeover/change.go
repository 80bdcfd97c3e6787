package takeover

import (
	"time"

	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/logpos"
)

// Release returns the change that removes the host from the previous holders, and
// whether it was among them. The host must have finished its work.
func (g *Group) Release(now time.Time) (lease.Change, bool) {
	g.lease.Handle(lease.WorkFinished{}, now)
	r, ok := g.lease.ReleaseRecord(now)
	return g.lease.Change(r), ok
}

// Acquire returns the change that makes the host the holder.
func (g *Group) Acquire(now time.Time) lease.Change {
	return g.lease.Change(g.lease.AcquireRecord(now))
}

// Rewrite returns the change by which the holder of an earlier era goes on.
func (g *Group) Rewrite(now time.Time) lease.Change {
	r := g.lease.RewriteRecord(now)
	if r.Term != g.term {
		r.LogEnd = logpos.Position{}
	}
	r.Primary, r.Term = g.primary, g.term
	return g.lease.Change(r)
}

// Transfer returns the change that transfers the lease to another process.
func (g *Group) Transfer(to lease.Holder, now time.Time) lease.Change {
	return g.lease.Change(g.lease.TransferRecord(to, now))
}

// AnnouncePromotion returns the change that announces a promotion, and whether the host
// may make it.
func (g *Group) AnnouncePromotion(now time.Time) (lease.Change, bool) {
	r := g.lease.UpdateRecord(now)
	r.LogEnd = g.reachedEnd(r)
	r.Primary, r.Term, r.Target = g.primary, max(g.term, r.Term), targetPending
	return g.lease.Change(r), g.lease.MayReplacePrimary(now)
}

// Promotion returns the fencing token of a promotion, the term that the new
// primary's term must exceed, and whether the host may request the promotion.
func (g *Group) Promotion(now time.Time) (token, term uint64, ok bool) {
	r, _ := g.lease.Record()
	return g.lease.Position().Token(), max(g.term, r.Term), g.lease.MayReplacePrimary(now) && r.Target != ""
}

// NamePrimary returns the change that names the primary, and whether the host may make
// it.
func (g *Group) NamePrimary(now time.Time) (lease.Change, bool) {
	r := g.lease.UpdateRecord(now)
	ok := r.Holder.ID == g.self.ID && !g.lease.Restored() && !g.primaryUnusable
	r.LogEnd = g.reachedEnd(r)
	r.Primary, r.Term, r.Target = g.primary, g.term, ""
	r.PrimaryUncertain = r.PrimaryUncertain && !g.primaryDiscovered
	return g.lease.Change(r), ok
}

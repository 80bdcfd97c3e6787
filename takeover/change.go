package takeover

import (
	"time"

	"github.com/dragonflypick/dragonflypick/lease"
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
	// A primary that has lost its log doesn't hide that there were entries.
	if p := g.reachedEnd(r); p.Offset > 0 {
		r.LogEnd = p
	}
	if g.term > r.Term {
		r = withoutTargets(r)
	}
	r.CallsPending = g.callsPending(now)
	r.Primary, r.Term = g.primary, g.term
	return g.lease.Change(r)
}

// Transfer returns the change that transfers the lease to another process.
func (g *Group) Transfer(to lease.Holder, now time.Time) lease.Change {
	r := g.lease.TransferRecord(to, now)
	r.CallsPending = g.callsPending(now)
	return g.lease.Change(r)
}

// NamePrimary returns the change that names the primary, and whether the host may make
// it.
func (g *Group) NamePrimary(now time.Time) (lease.Change, bool) {
	r := g.lease.UpdateRecord(now)
	ok := r.Holder.ID == g.self.ID && !g.lease.Restored() && !g.primaryUnusable
	r.LogEnd = g.reachedEnd(r)
	r = withoutTargets(r)
	r.Primary, r.Term, r.CallsPending = g.primary, g.term, g.callsPending(now)
	r.PrimaryUncertain = r.PrimaryUncertain && !g.primaryDiscovered
	return g.lease.Change(r), ok
}

// withoutTargets returns a record that names the primary in which the requested promotions
// have resulted.
func withoutTargets(r lease.Record) lease.Record {
	r.Target, r.TargetTerm, r.EarlierTargets = "", 0, nil
	return r
}

package fleet

import (
	"context"
	"time"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/drain"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/takeover"
)

const (
	// defaultDrainTime is Config.DrainTime if that isn't set.
	defaultDrainTime = 5 * time.Second
	// drainMargin is how much sooner the last new work is sent to a draining member: what is
	// on its way arrives within it.
	drainMargin = time.Second
)

// newWorkLimit returns until when new work is sent to a draining member after its report.
func newWorkLimit(c Config) time.Duration {
	if c.DrainTime == 0 {
		return defaultDrainTime - drainMargin
	}
	return max(c.DrainTime-drainMargin, c.DrainTime/2)
}

// observeDrain takes note of whether a member drains, which wasn't so at the given time if it
// was known then; f.mu is held.
func (f *Daemon) observeDrain(m catalog.Member, known bool, after time.Time) {
	f.drains.Observe(drain.Observed{Server: m.ID, Draining: m.Draining, Known: known, After: after}, now())
}

// refuseClosed refuses new work for a member that has been draining for too long.
func (f *Daemon) refuseClosed(member string) *query.Failure {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.drains.MayStart(member, now()) {
		return nil
	}
	return &query.Failure{Reason: query.Moved, Text: "the member is to be returned"}
}

// maySendNewWork reports whether new work may be sent to a group's primary now, and logs when
// a draining one gets no more; f.mu is held.
func (f *Daemon) maySendNewWork(g *group, t time.Time) bool {
	id, term := g.Primary()
	open := f.drains.MayStart(id, t)
	if age, _ := f.drains.Age(id, t); !open && g.closedPrimary != id && g.HoldsLease(t) {
		f.config.Log.Warn("draining primary gets no new work any more", "group", g.name, "member", id, "term", term, "draining-ms", age.Milliseconds(), "holder", g.Holder().ID, "replaceable-in-ms", f.primaryBlockedFor(g).Milliseconds(), "previous-holders", g.UnfinishedHolders(t))
		f.metrics.closedPrimaries.WithLabelValues(g.name).Inc()
		g.closedPrimary = id
	}
	return open && g.MaySendWork(t)
}

// awaitPrimary waits until work may be sent to a group's primary, as long as a request that
// arrived at t may wait. It returns false with the refusal if that isn't so in time; f.mu
// is held, but not all the while.
func (f *Daemon) awaitPrimary(x context.Context, g *group, r *query.Request, t time.Time) (query.Response, bool) {
	for !f.maySendNewWork(g, now()) || f.replacementBlocked(g) {
		rec, _ := g.Record()
		held := rec.Holder.ID == f.config.Self.ID
		left, blocked := r.Remaining-time.Since(t), f.primaryBlockedFor(g)
		switch {
		case f.replacementBlocked(g):
			id, _ := g.Primary()
			o := blockedReplacementResponse(id)
			o.Unavailable = f.config.Features.Pressure
			return o, false
		case !held:
			return query.Response{Reply: query.Refusal(query.Moved, "the group is not held here"), Holder: rec.Holder.ID}, false
		case blocked > left:
			id, _ := g.Primary()
			return blockedResponse(id, blocked), false
		case left <= holderRetryDelay:
			o := query.Response{Reply: query.Refusal(query.Overloaded, "the primary is being replaced"), Holder: rec.Holder.ID}
			o.Failure.RetryAfter, o.Unavailable = replacementRetryAfter, f.config.Features.Pressure
			return o, false
		}
		f.mu.Unlock()
		awake := sleep(x, holderRetryDelay)
		f.mu.Lock()
		if !awake {
			return query.Response{Reply: query.Refusal(query.Overloaded, "the daemon that asked is gone")}, false
		}
	}
	return query.Response{}, true
}

// primaryBlockedFor returns for how long a primary that has failed, or drains for too long,
// can't be replaced yet, zero if it may be used or can be replaced; f.mu is held.
func (f *Daemon) primaryBlockedFor(g *group) time.Duration {
	id, _ := g.Primary()
	_, ok := f.table.Member(id)
	t := now()
	u := g.BlockedUntil(takeover.PrimaryState{Listed: ok && f.evictAt[id].IsZero(), Closed: !f.drains.MayStart(id, t)}, t)
	if u.IsZero() || g.Holder().ID != f.config.Self.ID {
		return 0
	}
	return u.Sub(t)
}

// blockedResponse refuses a request for a primary that can't be used, and isn't replaced
// before the request's deadline.
func blockedResponse(member string, blocked time.Duration) query.Response {
	o := query.Response{Reply: query.Refusal(query.Overloaded, "the primary can't be used, and what an earlier holder of the group has sent may still arrive"), Member: member}
	o.Failure.RetryAfter, o.QueueWait = blocked+replacementRetryAfter, blocked
	return o
}

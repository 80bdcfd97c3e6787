package fleet

import (
	"context"
	"time"

	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/takeover"
)

// blockedRetryDelay is the delay before the next attempt to replace a primary that could
// not be replaced without the loss of an acknowledged commit.
const blockedRetryDelay = 500 * time.Millisecond

// blockedReplacementRetryAfter is the retry-after interval of a request whose primary can't be
// used, and not be replaced either.
const blockedReplacementRetryAfter = time.Second

// listedMembers returns the members of a group that the store lists; f.mu is held.
func (f *Daemon) listedMembers(g *group) []lease.Member {
	var l []lease.Member
	for _, m := range f.table.GroupMembers(g.name) {
		if f.evictAt[m.ID].IsZero() {
			l = append(l, lease.Member{ID: m.ID, Address: m.Address, StartMillis: m.StartMillis})
		}
	}
	return l
}

// recordMembers writes the members of a group into its record.
func (f *Daemon) recordMembers(x context.Context, g *group) {
	f.mu.Lock()
	drops := g.PrepareDrop(f.listedMembers(g), now())
	f.mu.Unlock()
	var l []takeover.MemberStatus
	if drops {
		l = f.pollStatus(x, g, "")
	}
	f.mu.Lock()
	c, ok := g.RecordMembers(f.listedMembers(g), l, now())
	f.mu.Unlock()
	if !ok {
		return
	}
	f.config.Log.Info("group members recorded", "group", g.name, "members", c.Record.Members)
	f.compareAndSwap(x, g, c)
}

// blockReplacement takes note that a primary can't be replaced now.
func (f *Daemon) blockReplacement(g *group, b takeover.Block) {
	f.mu.Lock()
	id, term := g.Primary()
	g.Handle(takeover.ReplacementBlocked{Block: b}, now())
	f.mu.Unlock()
	f.metrics.blockedReplacements.WithLabelValues(g.name).Inc()
	f.config.Log.Warn("primary not replaced: an acknowledged commit may be lost, or no member takes new work", "group", g.name, "primary", id, "term", term,
		"candidate", b.Candidate, "position", b.Position.String(), "needed", b.Needed.String(), "missing", b.Missing)
}

// replacementBlocked reports whether a group's primary can't be used, and not be replaced
// either; f.mu is held.
func (f *Daemon) replacementBlocked(g *group) bool {
	t := now()
	_, blocked := g.Blocked(t)
	return blocked && g.HoldsLease(t)
}

// blockedReplacementResponse refuses a request whose primary can't be replaced now.
func blockedReplacementResponse(member string) query.Response {
	o := query.Response{Reply: query.Refusal(query.Overloaded, "the primary can't be used, and no member that answers takes new work and is sure to have all acknowledged commits"), Member: member}
	o.Failure.RetryAfter, o.QueueWait = blockedReplacementRetryAfter, blockedReplacementRetryAfter
	return o
}

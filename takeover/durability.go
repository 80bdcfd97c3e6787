package takeover

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/logpos"
)

const (
	// blockedTime is how long a replacement counts as blocked after its last attempt.
	blockedTime = 2 * time.Second
	// dropInterval is the time between two attempts to drop members from the record.
	dropInterval = time.Second
)

// durability is what a holder knows of the commits that were acknowledged to callers.
// Each acknowledgment passes through the holder of its time and raises logEnd there
// first.
type durability struct {
	// soleSince is since when no other host can acknowledge a commit; zero if one may.
	soleSince time.Time
	// complete is set if logEnd has reached every commit that was ever acknowledged: the
	// primary has told its position after soleSince.
	complete bool
	// workEnded is set while no reply of the primary about a change is passed on.
	workEnded bool
	// block is why the last replacement was given up, at blockedAt.
	block     Block
	blockedAt time.Time
	// dropBounds holds, for each recorded member whose process has ended, a position that
	// all its commits had reached; droppedAt is when dropping was last tried.
	dropBounds map[lease.Member]logpos.Position
	droppedAt  time.Time
}

// Block tells why no member can be promoted without the loss of an acknowledged commit.
type Block struct {
	// Candidate is the member with the furthest position among those that answer, empty if
	// none does, and Position its position.
	Candidate string
	Position  logpos.Position
	// Needed is the position that holds every acknowledged commit; zero if it isn't known.
	Needed logpos.Position
	// Missing are the IDs of the members that may hold further commits and don't answer.
	Missing []string
}

// observeSole records since when no other host can acknowledge commits.
func (g *Group) observeSole(now time.Time) {
	if g.durability.soleSince.IsZero() && g.lease.MayReplacePrimary(now) {
		g.durability.soleSince = now
	}
}

// observeComplete records that the primary has told its position in reply to a request at
// the given time.
func (g *Group) observeComplete(requested time.Time) {
	if s := g.durability.soleSince; !s.IsZero() && !requested.Before(s) {
		g.durability.complete = true
	}
}

// observePolled takes note of the primary's own status among those polled.
func (g *Group) observePolled(e MembersPolled) {
	for _, a := range e.Statuses {
		if a.Err == nil && a.Status.Primary && a.Member.ID == g.primary && a.Status.Term == g.term && !g.primaryUnusable && !a.Status.Received.Less(g.logEnd) {
			g.observeComplete(e.RequestedAt)
		}
	}
}

// PassesReplies reports whether replies of the primary about changes may be passed on. One
// that may have lost its log may have made the changes without it.
func (g *Group) PassesReplies() bool {
	return !g.durability.workEnded && !g.primaryUnusable && !g.logDoubted
}

// Blocked returns why the primary, which has failed, can't be replaced now, or false.
func (g *Group) Blocked(now time.Time) (Block, bool) {
	d := &g.durability
	return d.block, !d.blockedAt.IsZero() && now.Sub(d.blockedAt) < blockedTime
}

// memberOf returns the process of a listed member.
func memberOf(m catalog.Member) lease.Member {
	return lease.Member{ID: m.ID, Address: m.Address, StartMillis: m.StartMillis}
}

// missing returns the recorded members whose status is not among those polled, without
// the old primary: a commit is acknowledged only after it has reached others. known is
// false if the record doesn't tell the members.
func (g *Group) missing(c SelectionInput) (l []string, known bool) {
	r, _ := g.lease.Record()
	for _, m := range r.Members {
		answered := slices.ContainsFunc(c.Statuses, func(a MemberStatus) bool {
			return a.Err == nil && a.Member.ID == m.ID && a.Member.StartMillis == m.StartMillis
		})
		if !answered && m.ID != c.OldPrimary {
			l = append(l, m.ID)
		}
	}
	for _, a := range c.Statuses {
		if a.Err != nil && a.Member.ID != c.OldPrimary && !slices.Contains(l, a.Member.ID) {
			l = append(l, a.Member.ID)
		}
	}
	return l, len(r.Members) > 0
}

// needed returns a position that every acknowledged commit has reached, or false if it
// isn't known. It is that of the old primary if that answers, as long as nothing is
// acknowledged any more.
func (g *Group) needed(c SelectionInput) (logpos.Position, bool) {
	p, known := g.logEnd, g.durability.complete
	for _, a := range c.Statuses {
		if a.Err == nil && a.Member.ID == c.OldPrimary && a.Status.Primary && a.Status.Term == g.term && !g.primaryUnusable {
			p, known = logpos.Max(p, a.Status.Received), true
		}
	}
	return p, known
}

// hasAllCommits reports whether the furthest of the replicas that answered, at position p,
// has every acknowledged commit: it has reached them all, or so few replicas are missing
// that one which was waited for has answered.
func (g *Group) hasAllCommits(c SelectionInput, p logpos.Position) bool {
	if n, known := g.needed(c); known && !p.Less(n) {
		return true
	}
	l, known := g.missing(c)
	return known && len(l) < c.SyncReplicas
}

// DescribeBlock tells why the selection found no member that has every acknowledged
// commit.
func (g *Group) DescribeBlock(c SelectionInput) Block {
	var b Block
	for _, a := range c.Statuses {
		if a.Err == nil && a.Member.ID != c.OldPrimary && (b.Candidate == "" || b.Position.Less(a.Status.Received)) {
			b.Candidate, b.Position = a.Member.ID, a.Status.Received
		}
	}
	b.Missing, _ = g.missing(c)
	if p, known := g.needed(c); known {
		b.Needed = p
	}
	return b
}

// MayLoseCommits reports whether the promotion of a member may lose commits that were
// acknowledged while commits waited for replicas.
func (g *Group) MayLoseCommits(c SelectionInput, a MemberStatus) bool {
	r, _ := g.lease.Record()
	n, known := g.needed(c)
	return len(r.Members) > 0 && (!known || a.Status.Received.Less(n))
}

// ended reports whether a recorded member's process has ended: the store lists a later one
// of the same ID, or at its address.
func ended(m lease.Member, listed []lease.Member) bool {
	return slices.ContainsFunc(listed, func(o lease.Member) bool {
		return o.StartMillis > m.StartMillis && (o.ID == m.ID || o.Address == m.Address && m.Address != "")
	})
}

// membersDue reports whether the record lacks a listed member. The first members are
// recorded once the primary has shown all commits, since earlier ones may be unknown.
func (g *Group) membersDue(listed []lease.Member) bool {
	r, _ := g.lease.Record()
	if g.primaryUnusable || len(r.Members) == 0 && !g.durability.complete {
		return false
	}
	return slices.ContainsFunc(listed, func(m lease.Member) bool { return !slices.Contains(r.Members, m) })
}

// dropDue reports whether the record may be rid of a member that has ended.
func (g *Group) dropDue(listed []lease.Member, now time.Time) bool {
	r, _ := g.lease.Record()
	return g.durability.complete && now.Sub(g.durability.droppedAt) >= dropInterval &&
		slices.ContainsFunc(r.Members, func(m lease.Member) bool { return ended(m, listed) })
}

// PrepareDrop takes note of the recorded members that have ended, before the statuses for
// RecordMembers are requested. It reports whether there are any.
func (g *Group) PrepareDrop(listed []lease.Member, now time.Time) bool {
	d := &g.durability
	d.droppedAt = now
	r, _ := g.lease.Record()
	maps.DeleteFunc(d.dropBounds, func(m lease.Member, _ logpos.Position) bool { return !slices.Contains(r.Members, m) })
	for _, m := range r.Members {
		if _, ok := d.dropBounds[m]; ok || !d.complete || !ended(m, listed) {
			continue
		}
		if d.dropBounds == nil {
			d.dropBounds = map[lease.Member]logpos.Position{}
		}
		d.dropBounds[m] = g.logEnd
	}
	return len(d.dropBounds) > 0
}

// RecordMembers returns the change that adds the listed members to the record, and drops
// those that have ended and whose commits another replica has received. It returns false
// if nothing changes.
func (g *Group) RecordMembers(listed []lease.Member, l []MemberStatus, now time.Time) (lease.Change, bool) {
	r := g.lease.UpdateRecord(now)
	old := r.Members
	dropped := func(m lease.Member) bool {
		p, ok := g.durability.dropBounds[m]
		return ok && slices.ContainsFunc(l, func(a MemberStatus) bool {
			return a.Err == nil && !a.Status.Primary && a.Status.Term == g.term && slices.Contains(listed, memberOf(a.Member)) && !a.Status.Received.Less(p)
		})
	}
	r.Members = slices.DeleteFunc(slices.Clone(old), dropped)
	for _, m := range listed {
		if !slices.Contains(r.Members, m) {
			r.Members = append(r.Members, m)
		}
	}
	slices.SortFunc(r.Members, func(a, b lease.Member) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.StartMillis, b.StartMillis))
	})
	return g.lease.Change(r), g.lease.Holds(now) && !g.lease.Restored() && !slices.Equal(r.Members, old)
}

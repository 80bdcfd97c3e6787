package takeover

import (
	"slices"
	"time"

	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/query"
)

// observePosition compares a position that the primary reports with the group's
// furthest position. A lower one, or one without entries, makes the holder doubt the log
// until the primary's status has been requested: replies carry no ID, so that this one may
// be a copy of an earlier reply on its connection.
func (g *Group) observePosition(o PositionReported, now time.Time) {
	if !g.ReportsLogEnd(o.Member, now) {
		return
	}
	g.checkUnanswered = false
	switch {
	case o.Position.IsZero():
		g.doubtLog(g.logEnd.Offset > 0)
		return
	case o.Position.Less(g.logEnd) && o.RequestedAt.After(g.logEndAt) && (g.logEnd.Term >= g.term || o.Position.Offset == 0):
		g.doubtLog(true)
		return
	case g.logEnd.Less(o.Position):
		g.logEnd, g.logEndAt = o.Position, now
	}
	g.shownEnd = logpos.Max(g.shownEnd, o.Position)
	g.observeComplete(o.RequestedAt)
}

// raiseEnd raises the end of the log to what a member has received. One without entries tells
// none, whatever its term.
func (g *Group) raiseEnd(a MemberStatus, now time.Time) {
	if p := a.Status.Received; a.Err == nil && p.Offset > 0 && g.logEnd.Less(p) {
		g.logEnd, g.logEndAt = p, now
	}
}

// doubtLog takes note that the primary may have lost its log, if doubted is set.
func (g *Group) doubtLog(doubted bool) {
	if doubted {
		g.logDoubted, g.checkUnanswered = true, false
	}
}

// belowEnd reports whether a primary with a status lacks entries of the group's log. It has
// reached its offset in its own term, since offsets continue there; the end of an earlier
// term may have been rolled back.
func (g *Group) belowEnd(s query.Status) bool {
	return logpos.Position{Term: max(s.Term, s.Received.Term), Offset: s.Received.Offset}.Less(g.logEnd)
}

// PrimaryDoubted reports whether the primary may have lost its log, so that the holder has
// to discover the primary again before it sends any more work there.
func (g *Group) PrimaryDoubted() bool { return g.logDoubted }

// checkDue reports whether the holder must discover a doubted primary again. One that hasn't
// answered the last time is probed instead, if its connections are known.
func (g *Group) checkDue(f HostState) bool {
	return g.logDoubted && !g.primaryUnusable && (!g.checkUnanswered || f.PrimaryHealth == nil)
}

// LogEnd returns the furthest position of the group's log that this host has learned of as
// the holder, and when; zero if it has learned of none.
func (g *Group) LogEnd() (logpos.Position, time.Time) { return g.logEnd, g.logEndAt }

// hasLostLog reports whether a primary with a status has started again without its log.
// Offsets of different terms aren't compared, since a promotion may have rolled back the end
// of the earlier one, but no promoted member's log is empty if others have entries.
func (g *Group) hasLostLog(s query.Status) bool {
	r, _ := g.lease.Record()
	if s.Received.Offset == 0 {
		return g.logEnd.Offset > 0 || r.LogEnd.Offset > 0
	}
	return s.Term == r.Term && s.Term == r.LogEnd.Term && s.Received.Offset < r.LogEnd.Offset
}

// showsLog reports whether a primary with a status has every commit that was acknowledged to
// a caller, as far as this host knows them all.
func (g *Group) showsLog(s query.Status) bool {
	return g.durability.complete && g.logEnd.Offset > 0 && s.Term == g.term && !s.Received.Less(g.logEnd)
}

// withLogs returns the statuses without those of members that hold nothing, if the group's
// log has entries: to promote such a member would lose them all. They are kept if no other
// member can hold more.
func (g *Group) withLogs(c SelectionInput) []MemberStatus {
	r, _ := g.lease.Record()
	entries := g.logEnd.Offset > 0 || r.LogEnd.Offset > 0
	unknown := !c.OldPrimaryGone && !g.primaryUnusable
	held := false
	for _, a := range c.Statuses {
		other := a.Member.ID != c.OldPrimary
		unknown = unknown || other && a.Err != nil
		held = held || other && a.Err == nil && a.Status.Received.Offset > 0
	}
	if !held && (!entries || !unknown) {
		return c.Statuses
	}
	return slices.DeleteFunc(slices.Clone(c.Statuses), func(a MemberStatus) bool {
		return a.Err == nil && a.Member.ID != c.OldPrimary && a.Status.Received.Offset == 0
	})
}

// exceeded reports whether a member that is primary lacks what another one has received in
// its term, so that it has started again without its log.
func exceeded(a MemberStatus, l []MemberStatus) bool {
	return slices.ContainsFunc(l, func(o MemberStatus) bool {
		return o.Err == nil && o.Status.Received.Term == a.Status.Term && a.Status.Received.Less(o.Status.Received)
	})
}

// adoptRecordedEnd makes the recorded position the least that the recorded primary must
// show. The holder may not know of any other one, as when no member has answered it.
func (g *Group) adoptRecordedEnd(now time.Time) {
	r, _ := g.lease.Record()
	if g.term == r.Term && g.logEnd.Less(r.LogEnd) {
		g.logEnd, g.logEndAt = r.LogEnd, now
	}
}

// logEndUnrecorded reports whether the record tells no position of a log that has entries.
func (g *Group) logEndUnrecorded() bool {
	r, _ := g.lease.Record()
	return r.LogEnd.Offset == 0 && g.reachedEnd(r).Offset > 0
}

// reachedEnd returns the LogEnd of a record that replaces r and names the present primary.
// Entries of an earlier term count only if the primary has told them, since a replica may
// be yet to roll its own back.
func (g *Group) reachedEnd(r lease.Record) logpos.Position {
	p := g.shownEnd
	if g.logEnd.Term == g.term {
		p = logpos.Max(p, g.logEnd)
	}
	if r.Term == g.term && r.Primary == g.primary {
		p = logpos.Max(p, r.LogEnd)
	}
	return p
}

// setPrimary sets the primary and its term.
func (g *Group) setPrimary(id string, term uint64) {
	if id != g.primary || term != g.term {
		g.shownEnd = logpos.Position{}
	}
	g.primary, g.term = id, term
}

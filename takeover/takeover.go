// Package takeover decides, for one database group and on one host, which host
// holds the group's lease, whether the primary has failed, and which member
// replaces it. The hosts agree through the group's record in the platform's
// store, which names the holder of the lease; package failover, in contrast,
// needs no store but a majority of the members. Package takeover does no I/O
// and reads no clock; the daemon and the model run the same code.
package takeover

import (
	"slices"
	"time"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/store"
)

// Timing and limits of monitoring a primary.
const (
	// silenceBeforeProbe is how long a primary may send no reply before it is
	// probed on fresh connections.
	silenceBeforeProbe = 300 * time.Millisecond
	// silenceWithRefusals is the same limit once MaxFailedProbes connections to
	// the primary have failed to open since its last reply.
	silenceWithRefusals = 100 * time.Millisecond
	// MaxFailedProbes is the number of fresh connections that must fail in a
	// row before a primary is replaced, so that one lost packet doesn't cause a
	// replacement.
	MaxFailedProbes = 2
	// transferDelay is how long another host must be nearer to the primary
	// before the lease is transferred to it, so that a short suspicion of a
	// host doesn't move the lease.
	transferDelay = 2 * time.Second
	// farTransferDelay is the same from a host of another region than the primary's, and
	// farTakeoverDelay how long such a host leaves a takeover to nearer ones.
	farTransferDelay = 400 * time.Millisecond
	farTakeoverDelay = 300 * time.Millisecond
)

// MemberStatus is a member's status, or the error of the request for it.
type MemberStatus struct {
	Member catalog.Member
	Status query.Status
	Err    error
}

// Event is an input that changes the state of a group.
type Event interface{ event() }

// LeaseEvent wraps an event of the group's lease.
type LeaseEvent struct{ Event lease.Event }

// PositionReported reports the log position of a member.
type PositionReported struct {
	Member   string
	Position logpos.Position
	// RequestedAt is when the position was requested.
	RequestedAt time.Time
}

// MembersPolled is the result of polling the members to find the primary. Answers that
// were not awaited follow as MemberAnswered.
type MembersPolled struct {
	Statuses []MemberStatus
	// RequestedAt is when the first status was requested.
	RequestedAt time.Time
}

// MemberAnswered is a member's status that arrived after MembersPolled.
type MemberAnswered struct{ MemberStatus }

// MemberRestarted reports that a member's process has started again. It may have lost its
// log.
type MemberRestarted struct{ Member string }

// PrimaryProbed is the result of opening one fresh connection to the primary.
type PrimaryProbed struct{ Failed bool }

// ReplacementStarted reports that the replacement of the primary has started.
type ReplacementStarted struct{}

// ReplacementEnded reports that the replacement has succeeded or failed.
type ReplacementEnded struct{}

// WorkEnded reports that all work at the primary has been ended for its replacement: no
// reply about a change that arrives from now on is passed on.
type WorkEnded struct{}

// ReplacementBlocked reports that no member could be selected without the loss of an
// acknowledged commit.
type ReplacementBlocked struct{ Block Block }

// PrimaryConfirmed reports that the member selected for promotion is primary.
type PrimaryConfirmed struct {
	Member string
	Status query.Status
	// LogEnd is the end of its log when it was selected. Offsets continue in
	// the next term, so a member with a lower offset now has restarted without
	// its log.
	LogEnd logpos.Position
}

func (LeaseEvent) event()         {}
func (PositionReported) event()   {}
func (MembersPolled) event()      {}
func (MemberAnswered) event()     {}
func (MemberRestarted) event()    {}
func (PrimaryProbed) event()      {}
func (ReplacementStarted) event() {}
func (ReplacementEnded) event()   {}
func (WorkEnded) event()          {}
func (ReplacementBlocked) event() {}
func (PrimaryConfirmed) event()   {}

// Group is one host's state of a database group. It is not safe for concurrent
// use.
type Group struct {
	self  lease.Holder
	lease *lease.Lease
	// primary and term are the primary and its term, as the holder has discovered
	// them or as the record names them; empty if unknown.
	primary string
	term    uint64
	// primaryDiscovered is set once the holder has determined, from the record
	// and the statuses of the members, which member is primary, or that the old
	// primary must be replaced because a promotion was requested.
	primaryDiscovered bool
	// logDoubted is set while the primary may have lost its log, until the holder has
	// discovered the primary again and its status shows the log.
	logDoubted bool
	// checkUnanswered is set if no primary has answered the last discovery, so that a
	// doubted one is monitored like any other until it answers.
	checkUnanswered bool
	// replacing is set while the primary is being replaced.
	replacing bool
	// primaryUnusable is set if no work may be sent to the primary: its log has
	// lost entries, or a promotion has been requested.
	primaryUnusable bool
	// logEnd is the furthest position that was reported by the primary, or by any
	// member when the primary was discovered. logEndAt is when that report was
	// handled. Only a holder records them.
	logEnd   logpos.Position
	logEndAt time.Time
	// shownEnd is the furthest position that the primary itself has told in its term.
	shownEnd logpos.Position
	// durability is what this host knows of the acknowledged commits.
	durability durability
	// promotions are those that this host has requested as the holder, since heldSince.
	promotions promotions
	heldSince  time.Time
	// failedProbes counts the fresh connections to the primary that failed in a
	// row.
	failedProbes int
	// probedLast is set if waitingAction has last returned ProbePrimary, and awaitedLast if
	// holderAction has last returned AwaitPromotion.
	probedLast, awaitedLast bool
	// nearerSince is since when another host has been nearer to the primary;
	// zero if none is.
	nearerSince time.Time
	// farSince is since when this host, which is far from the primary, could take the
	// lease over, and farAskedAt when that was last so.
	farSince, farAskedAt time.Time
}

// New returns the empty state of a group on the host self.
func New(self lease.Holder) *Group { return &Group{self: self, lease: lease.New(self)} }

// Handle processes an event.
func (g *Group) Handle(e Event, now time.Time) {
	g.handle(e, now)
	g.observeSole(now)
}

func (g *Group) handle(e Event, now time.Time) {
	switch e := e.(type) {
	case LeaseEvent:
		g.handleLease(e.Event, now)
	case PositionReported:
		g.observePosition(e, now)
	case MembersPolled:
		g.discoverPrimary(e, now)
		g.observePolled(e)
	case MemberAnswered:
		g.raiseEnd(e.MemberStatus, now)
	case MemberRestarted:
		g.doubtLog(e.Member == g.primary)
	case PrimaryProbed:
		g.failedProbes++
		if !e.Failed {
			g.failedProbes, g.durability.blockedAt, g.checkUnanswered = 0, time.Time{}, false
		}
	case ReplacementStarted:
		g.replacing = true
	case ReplacementEnded:
		g.replacing, g.failedProbes, g.durability.workEnded = false, 0, false
	case WorkEnded:
		g.durability.workEnded = true
	case ReplacementBlocked:
		g.durability.block, g.durability.blockedAt = e.Block, now
	case PromotionRequested:
		g.primaryUnusable = true
		g.promotions.request(e.Member, e.Token, now)
	case PromotionAnswered:
		g.promotions.answer(e.Answer, now)
	case PromotionEffective:
		g.primaryDiscovered, g.primaryUnusable = false, false
	case PrimaryConfirmed:
		g.promotions.confirm(e.Member)
		g.setPrimary(e.Member, e.Status.Term)
		g.logDoubted, g.shownEnd = false, e.Status.Received
		g.primaryUnusable = e.Status.Received.Offset < e.LogEnd.Offset
		if !g.primaryUnusable {
			g.logEnd, g.logEndAt = e.Status.Received, now
		}
		// No commit of the new term has been acknowledged yet.
		g.durability.complete, g.durability.blockedAt = true, time.Time{}
	}
}

// handleLease handles an event of the lease. Every host adopts the primary of a
// newer record. A host that becomes the holder must discover the primary again,
// even if it held the lease before; not if it only writes its record again.
func (g *Group) handleLease(e lease.Event, now time.Time) {
	old, _ := g.lease.Record()
	g.lease.Handle(e, now)
	r, _ := g.lease.Record()
	rewritten := old.Holder.ID == g.self.ID && r.Era > old.Era && !r.PrimaryUncertain
	if r.Holder.ID == g.self.ID && r.Epoch != old.Epoch && !rewritten {
		g.primaryDiscovered, g.logDoubted, g.primaryUnusable, g.failedProbes, g.nearerSince = false, false, false, 0, time.Time{}
		g.durability, g.promotions = durability{}, promotions{inherited: r.Target != "" || r.CallsPending}
		g.heldSince = now
	}
	if r.Term >= g.term && r.Primary != "" && (r.Primary != g.primary || r.Term != g.term) {
		g.setPrimary(r.Primary, r.Term)
	}
}

// MayDiscover reports whether the primary can be determined from the statuses that have
// arrived so far of count members: the primary that the record names confirms that it
// is, and most members have answered, none of which has received more. A primary that
// restarted without its log has less than any member that kept its own. The primary's
// answer alone is enough if this host knows the end of the log, as is that of the member
// whose promotion was requested last, once it leads.
func (g *Group) MayDiscover(l []MemberStatus, count int) bool {
	r, _ := g.lease.Record()
	switch {
	case r.PrimaryUncertain:
		return false
	case r.Target != "":
		return slices.ContainsFunc(l, g.LeadsAsRequested)
	}
	i := slices.IndexFunc(l, func(a MemberStatus) bool { return a.Member.ID == r.Primary })
	if i < 0 || l[i].Err != nil || !l[i].Status.Primary || l[i].Status.Term != r.Term {
		return false
	}
	if g.hasLostLog(l[i].Status) || g.showsLog(l[i].Status) || g.logDoubted && g.belowEnd(l[i].Status) {
		return true
	}
	answered := 0
	for _, a := range l {
		switch {
		case a.Err != nil:
		case l[i].Status.Received.Less(a.Status.Received):
			return false
		default:
			answered++
		}
	}
	return 2*answered > count
}

// reportedPrimary returns the member that reports itself primary in the highest
// term, if that is not below the record's term.
func (g *Group) reportedPrimary(l []MemberStatus) (MemberStatus, bool) {
	r, _ := g.lease.Record()
	best := -1
	for i, a := range l {
		if a.Err == nil && a.Status.Primary && a.Status.Term >= r.Term && (best < 0 || a.Status.Term > l[best].Status.Term) {
			best = i
		}
	}
	if best < 0 {
		return MemberStatus{}, false
	}
	return l[best], true
}

// discoverPrimary determines the primary from the record and the statuses of
// the members. From then on the primary must have the furthest position that
// any member reported: if its status, requested since, shows less, it has restarted
// without its log, or another member was promoted.
//
// If the record's primary comes from an earlier era of the store, a later promotion may
// be unknown: then every member has to answer, and a primary of an earlier term than
// any of them has seen isn't used.
func (g *Group) discoverPrimary(e MembersPolled, now time.Time) {
	l := e.Statuses
	r, _ := g.lease.Record()
	best, ok := g.reportedPrimary(l)
	lost := ok && g.belowEnd(best.Status) && e.RequestedAt.After(g.logEndAt)
	for _, a := range l {
		g.raiseEnd(a, now)
	}
	switch {
	case r.PrimaryUncertain && slices.ContainsFunc(l, func(a MemberStatus) bool { return a.Err != nil }):
		return
	case r.PrimaryUncertain && ok && slices.ContainsFunc(l, func(a MemberStatus) bool { return a.Status.Term > best.Status.Term }):
		g.primaryUnusable = true
	case ok && (r.Target == "" || r.PrimaryUncertain || g.leads(best, l, e.RequestedAt)):
		g.setPrimary(best.Member.ID, best.Status.Term)
		g.shownEnd = logpos.Max(g.shownEnd, best.Status.Received)
		g.primaryUnusable = g.primaryUnusable || lost || g.hasLostLog(best.Status)
	case r.Target == "" && r.Primary != "":
		g.setPrimary(r.Primary, r.Term)
	case r.Target != "":
		// A promotion was requested and may still take effect, so the old primary
		// isn't used again.
		g.primaryUnusable = true
	default:
		return
	}
	g.adoptRecordedEnd(now)
	g.primaryDiscovered, g.failedProbes, g.checkUnanswered = true, 0, !ok
	g.logDoubted = g.logDoubted && !g.primaryUnusable && (!ok || g.belowEnd(best.Status))
}

// Record returns the latest known record of the group, or false if none is known.
func (g *Group) Record() (lease.Record, bool) { return g.lease.Record() }

// ReportedRecord returns the latest known record for hosts that may not know it, with the
// primary of the latest term that this host knows.
func (g *Group) ReportedRecord() (lease.Record, bool) {
	r, ok := g.lease.Record()
	if g.term > r.Term {
		r.Primary, r.Term, r.LogEnd = g.primary, g.term, logpos.Position{}
		r = withoutTargets(r)
	}
	return r, ok
}

// RecordPosition returns the position of the group's record in the store.
func (g *Group) RecordPosition() store.Position { return g.lease.Position() }

// RecordRestored reports whether the store's record may be older than the latest one.
func (g *Group) RecordRestored() bool { return g.lease.Restored() }

// Holder returns the process that holds the group's lease by the latest known
// record.
func (g *Group) Holder() lease.Holder {
	r, _ := g.lease.Record()
	return r.Holder
}

// Primary returns the primary's ID and term; empty if unknown.
func (g *Group) Primary() (string, uint64) { return g.primary, g.term }

// PrimaryUsable reports whether work may be sent to the primary: it hasn't lost
// log entries, and no promotion has been requested.
func (g *Group) PrimaryUsable() bool { return !g.primaryUnusable }

// PrimaryDiscovered reports whether the holder has determined which member is
// primary, or that the old primary must be replaced.
func (g *Group) PrimaryDiscovered() bool { return g.primaryDiscovered }

// ReportsLogEnd reports whether a position that a member reports is the end of the
// group's log: the member is the primary and this host is the holder.
func (g *Group) ReportsLogEnd(member string, now time.Time) bool {
	return member == g.primary && g.lease.Holds(now)
}

// UnfinishedHolders returns the previous holders that may still send work to the
// primary.
func (g *Group) UnfinishedHolders(now time.Time) []lease.Holder {
	return g.lease.UnfinishedHolders(now)
}

// HoldsLease reports whether the host holds the group's lease now.
func (g *Group) HoldsLease(now time.Time) bool { return g.lease.Holds(now) }

// ConfirmedAt returns when the latest record that proved that this host is the holder
// was requested.
func (g *Group) ConfirmedAt() time.Time { return g.lease.ConfirmedAt() }

// Settled reports whether no holder of an earlier era of the store can act any more.
func (g *Group) Settled(now time.Time) bool { return g.lease.Settled(now) }

// ConfirmDue reports whether the record must be requested from the store now.
func (g *Group) ConfirmDue(now time.Time) bool { return g.lease.ConfirmDue(now) }

// IsPreviousHolder reports whether the store's record lists the host as a previous
// holder.
func (g *Group) IsPreviousHolder() bool {
	r, known := g.lease.Record()
	return known && !g.lease.Restored() && slices.Contains(r.PreviousHolders, g.self)
}

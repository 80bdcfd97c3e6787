// Package takeover decides, for one database group and on one host, which host
// holds the group's lease, whether the primary has failed, and which member
// replaces it. It does no I/O and reads no clock; the daemon and the model run the
// same code.
package takeover

import (
	"slices"
	"time"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/query"
)

// Timing and limits of monitoring a primary.
const (
	// silenceBeforeProbe is how long after the last reply of a primary fresh
	// connections to it are tried.
	silenceBeforeProbe = 300 * time.Millisecond
	// silenceWithRefusals is the same if connections to the primary fail to open.
	silenceWithRefusals = 100 * time.Millisecond
	// MaxFailedProbes is the number of fresh connections that must fail in a row before
	// a primary is replaced, so that one lost packet doesn't cause a replacement.
	MaxFailedProbes = 2
	// transferDelay is how long another host must be nearer to the primary before
	// the lease is transferred to it, so that a host that is suspected for a short
	// time doesn't move the lease.
	transferDelay = 2 * time.Second
)

// pendingTarget is the record's Target while a promotion may be requested.
const pendingTarget = "pending"

// MemberStatus is a member's status, or the error of the request for it.
type MemberStatus struct {
	Member catalog.Member
	Status query.Status
	Err    error
}

// Event is an input that changes the state of a group.
type Event interface{ event() }

// LeaseEvent is an event of the group's lease: its record or its holders.
type LeaseEvent struct{ Event lease.Event }

// PositionReported is a log position that a member reported in reply to a request sent at
// Sent.
type PositionReported struct {
	Member      string
	Position    logpos.Position
	RequestedAt time.Time
}

// MembersPolled is the result of polling the members to find the primary.
type MembersPolled struct{ Statuses []MemberStatus }

// PrimaryProbed is the result of opening one fresh connection to the primary.
type PrimaryProbed struct{ Failed bool }

// ReplacementStarted is the start of the replacement of the primary.
type ReplacementStarted struct{}

// ReplacementEnded is the end of the replacement, whether it succeeded or failed.
type ReplacementEnded struct{}

// PromotionRequested is the request for a promotion, which may take effect at any time from
// then on.
type PromotionRequested struct{}

// PrimaryConfirmed reports that the member selected for promotion is primary.
type PrimaryConfirmed struct {
	Member string
	Status query.Status
	// LogEnd is the end of its log when it was selected. Offsets continue in the next
	// term, so a member with a lower offset now has restarted without its log.
	LogEnd logpos.Position
}

func (LeaseEvent) event()         {}
func (PositionReported) event()   {}
func (MembersPolled) event()      {}
func (PrimaryProbed) event()      {}
func (ReplacementStarted) event() {}
func (ReplacementEnded) event()   {}
func (PromotionRequested) event() {}
func (PrimaryConfirmed) event()   {}

// Group is one host's state of a database group. It is not safe for concurrent
// use.
type Group struct {
	self  lease.Holder
	lease *lease.State
	// primary and term are the member that the holder sends work to and its term.
	// They are empty until the holder has discovered them; other hosts take them
	// from the record.
	primary string
	term    uint64
	// discovered is set once the holder has determined, from the statuses of the
	// members, the primary or that it must be replaced.
	discovered bool
	// replacing is set while the primary is being replaced.
	replacing bool
	// unusable is set if no work may be sent to the primary: its log has lost
	// entries, or a promotion has been requested.
	unusable bool
	// logEnd is the furthest position that the primary reported, and logEndAt when
	// the report was received. Only a holder records them.
	logEnd   logpos.Position
	logEndAt time.Time
	// failedProbes counts the fresh connections to the primary that failed in a
	// row.
	failedProbes int
	// nearerSince is the time since which another host has been nearer to the
	// primary, zero if none is.
	nearerSince time.Time
}

// New returns the empty state of a group on the host self.
func New(self lease.Holder) *Group { return &Group{self: self, lease: lease.New(self)} }

// Handle processes an event.
func (g *Group) Handle(e Event, now time.Time) {
	switch e := e.(type) {
	case LeaseEvent:
		g.handleLease(e.Event, now)
	case PositionReported:
		g.observe(e, now)
	case MembersPolled:
		g.discover(e.Statuses, now)
	case PrimaryProbed:
		g.failedProbes++
		if !e.Failed {
			g.failedProbes = 0
		}
	case ReplacementStarted:
		g.replacing = true
	case ReplacementEnded:
		g.replacing, g.failedProbes = false, 0
	case PromotionRequested:
		g.unusable = true
	case PrimaryConfirmed:
		g.primary, g.term = e.Member, e.Status.Term
		g.unusable = e.Status.Received.Offset < e.LogEnd.Offset
		g.logEnd, g.logEndAt = e.Status.Received, now
	}
}

// handleLease handles an event of the lease. Every host adopts the primary of a
// newer record. A host that becomes the holder polls the members again, whatever
// state it had before.
func (g *Group) handleLease(e lease.Event, now time.Time) {
	old, rev, _ := g.lease.Record()
	g.lease.Handle(e, now)
	s, ok := e.(lease.RecordObserved)
	if !ok || s.Revision <= rev {
		return
	}
	if s.Record.Holder.ID == g.self.ID && s.Record.Epoch != old.Epoch {
		g.discovered, g.unusable, g.failedProbes, g.nearerSince = false, false, 0, time.Time{}
	}
	if r := s.Record; r.Term >= g.term && r.Primary != "" && (r.Primary != g.primary || r.Term != g.term) {
		g.primary, g.term = r.Primary, r.Term
	}
}

// observe compares a position with what the primary reported before.
func (g *Group) observe(o PositionReported, now time.Time) {
	if !g.ReportsLogEnd(o.Member, now) {
		return
	}
	switch {
	case o.Position.Less(g.logEnd) && o.RequestedAt.After(g.logEndAt):
		g.unusable = true
	case g.logEnd.Less(o.Position):
		g.logEnd, g.logEndAt = o.Position, now
	}
}

// reportedPrimary returns the member that reports itself primary in the highest
// term, if that is not below the record's term.
func (g *Group) reportedPrimary(l []MemberStatus) (MemberStatus, bool) {
	r, _, _ := g.lease.Record()
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

// discover determines the primary from the statuses of the members. From then on
// the primary must have the furthest position that any of them reported: if it
// reports less, it has restarted without its log, or another member was promoted.
func (g *Group) discover(l []MemberStatus, now time.Time) {
	for _, a := range l {
		if a.Err == nil && g.logEnd.Less(a.Status.Received) {
			g.logEnd, g.logEndAt = a.Status.Received, now
		}
	}
	r, _, _ := g.lease.Record()
	best, ok := g.reportedPrimary(l)
	switch {
	case ok && (r.Target == "" || best.Status.Term > r.Term):
		g.primary, g.term = best.Member.ID, best.Status.Term
	case r.Target == "" && r.Primary != "":
		g.primary, g.term = r.Primary, r.Term
	case r.Target != "":
		// A promotion was requested and may still take effect, so the old primary
		// isn't used again.
		g.unusable = true
	default:
		return
	}
	g.discovered, g.failedProbes = true, 0
}

// Record returns the group's record and its revision, or false if none is known.
func (g *Group) Record() (lease.Record, uint64, bool) { return g.lease.Record() }

// Holder returns the process that holds the group by the latest known record.
func (g *Group) Holder() lease.Holder {
	r, _, _ := g.lease.Record()
	return r.Holder
}

// Primary returns the primary and its term, empty if unknown.
func (g *Group) Primary() (string, uint64) { return g.primary, g.term }

// MaySendWork reports whether the host may send new work to the primary now.
func (g *Group) MaySendWork(now time.Time) bool {
	return g.lease.Holds(now) && g.discovered && !g.replacing && !g.unusable
}

// MayFinishTransactions reports whether the host may continue open transactions.
func (g *Group) MayFinishTransactions(now time.Time) bool { return g.lease.MayFinish(now) }

// PrimaryUsable reports whether work may be sent to the primary: it hasn't lost log
// entries, and no promotion has been requested.
func (g *Group) PrimaryUsable() bool { return !g.unusable }

// PrimaryDiscovered reports whether the holder has determined, from the statuses of the
// members, the primary or that it must be replaced.
func (g *Group) PrimaryDiscovered() bool { return g.discovered }

// ReportsLogEnd reports whether a position that a member reports is the end of the
// group's log: the member is the primary and this host is the holder.
func (g *Group) ReportsLogEnd(member string, now time.Time) bool {
	return member == g.primary && g.lease.Holds(now)
}

// UnfinishedHolders returns the previous holders that may still send work.
func (g *Group) UnfinishedHolders(now time.Time) []lease.Holder {
	return g.lease.UnfinishedHolders(now)
}

// ConfirmDue reports whether the record must be requested from the store now.
func (g *Group) ConfirmDue(now time.Time) bool { return g.lease.ConfirmDue(now) }

// IsPreviousHolder reports whether the host is among the previous holders in the record.
func (g *Group) IsPreviousHolder() bool {
	r, rev, known := g.lease.Record()
	return known && rev > 0 && slices.Contains(r.PreviousHolders, g.self)
}

// ReleaseRecord returns the record without the host among the previous holders, the
// revision that it must replace, and whether the host was among them. The host
// must have finished its work.
func (g *Group) ReleaseRecord(now time.Time) (lease.Record, uint64, bool) {
	g.lease.Handle(lease.WorkFinished{}, now)
	r, ok := g.lease.ReleaseRecord()
	_, rev, _ := g.lease.Record()
	return r, rev, ok
}

// AcquireRecord returns the record that makes the host the holder, and the revision that
// it must replace.
func (g *Group) AcquireRecord() (lease.Record, uint64) {
	_, rev, known := g.lease.Record()
	if !known {
		rev = 0
	}
	return g.lease.AcquireRecord(), rev
}

// TransferRecord returns the record by which the holder transfers the lease to another
// process, and the revision that it must replace.
func (g *Group) TransferRecord(to lease.Holder, now time.Time) (lease.Record, uint64) {
	_, rev, _ := g.lease.Record()
	return g.lease.TransferRecord(to, now), rev
}

// IntentRecord returns the record that announces a promotion, the revision that it must
// replace, and whether the host may write it.
func (g *Group) IntentRecord(now time.Time) (lease.Record, uint64, bool) {
	r, rev, _ := g.lease.Record()
	r.Primary, r.Term, r.Target = g.primary, max(g.term, r.Term), pendingTarget
	return r, rev, g.lease.MayReplace(now)
}

// Promotion returns the fencing token of a promotion, the term that the new
// primary's term must exceed, and whether the host may request the promotion.
func (g *Group) Promotion(now time.Time) (token, term uint64, ok bool) {
	r, rev, _ := g.lease.Record()
	return rev, max(g.term, r.Term), g.lease.MayReplace(now) && r.Target != ""
}

// PrimaryRecord returns the record that names the primary, the revision that it must
// replace, and whether the host may write it.
func (g *Group) PrimaryRecord(now time.Time) (lease.Record, uint64, bool) {
	r, rev, _ := g.lease.Record()
	ok := r.Holder.ID == g.self.ID && !g.unusable
	r.Primary, r.Term, r.Target = g.primary, g.term, ""
	r.PreviousHolders = g.lease.UnfinishedHolders(now)
	return r, rev, ok
}

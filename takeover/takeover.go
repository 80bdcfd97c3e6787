// Package takeover decides for one database group, at one host, who holds the
// group, whether its primary is failing, and which member replaces it. It does no
// I/O and reads no clock; the daemon and the model drive the same code.
package takeover

import (
	"slices"
	"time"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/query"
)

// Timing and limits of the watch over a primary.
const (
	// silenceTime is how long a primary may not answer before fresh connections
	// are tried.
	silenceTime = 300 * time.Millisecond
	// refusedTime is the same for a primary whose connections fail to open.
	refusedTime = 100 * time.Millisecond
	// MaxFailedProbes is the number of fresh connections that fail in a row before a
	// primary is replaced, so that one lost packet doesn't do it.
	MaxFailedProbes = 2
	// betterTime is how long another host has to stand nearer to the primary before
	// it is given the group, so that short suspicions don't move it.
	betterTime = 2 * time.Second
)

// pendingTarget stands in the record while a promotion may be asked for.
const pendingTarget = "pending"

// MemberStatus is a member's status, or why there is none.
type MemberStatus struct {
	Member catalog.Member
	Status query.Status
	Err    error
}

// Event is something that a group learns.
type Event interface{ event() }

// LeaseEvent is news of the group's record or of its holders.
type LeaseEvent struct{ Event lease.Event }

// PositionReported tells of a position that a member reported to a request sent at Sent.
type PositionReported struct {
	Member   string
	Position logpos.Position
	Sent     time.Time
}

// MembersPolled tells what the members answered after Discover.
type MembersPolled struct{ Statuses []MemberStatus }

// PrimaryProbed tells whether a fresh connection to the primary failed.
type PrimaryProbed struct{ Failed bool }

// ReplacementStarted tells that the replacement of the primary begins.
type ReplacementStarted struct{}

// ReplacementEnded tells that the replacement is over, whatever its outcome.
type ReplacementEnded struct{}

// PromotionRequested tells that a promotion is being asked for; it may take effect at any time
// from then on.
type PromotionRequested struct{}

// PrimaryConfirmed tells that a member leads.
type PrimaryConfirmed struct {
	Member string
	Status query.Status
	// LogEnd is the end of its log when it was chosen. Offsets go on in the next term,
	// so one that has less now has started again without its log.
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

// Group is one host's knowledge of a database group. It is not safe for
// concurrent use.
type Group struct {
	self   lease.Holder
	tenure *lease.Lease
	// primary and term are what the holder sends work to, empty until it has
	// found out; other hosts have them from the record.
	primary string
	term    uint64
	// found tells that the holder has asked the members for the primary.
	found bool
	// replacing tells that the primary is being replaced.
	replacing bool
	// unusable tells that the primary isn't to be used: its log has lost entries,
	// or a promotion has been asked for.
	unusable bool
	// end is the furthest position that the primary reported, ended when it was
	// heard; a holder notes them.
	end   logpos.Position
	ended time.Time
	// silent counts the fresh connections to the primary that failed in a row.
	silent int
	// nearBy is since when another host stands nearer to the primary, zero if none
	// does.
	nearBy time.Time
}

// New returns the knowledge of the host self, which is none.
func New(self lease.Holder) *Group { return &Group{self: self, tenure: lease.New(self)} }

// Handle takes in an event.
func (g *Group) Handle(e Event, now time.Time) {
	switch e := e.(type) {
	case LeaseEvent:
		g.learn(e.Event, now)
	case PositionReported:
		g.observe(e, now)
	case MembersPolled:
		g.discover(e.Statuses, now)
	case PrimaryProbed:
		g.silent++
		if !e.Failed {
			g.silent = 0
		}
	case ReplacementStarted:
		g.replacing = true
	case ReplacementEnded:
		g.replacing, g.silent = false, 0
	case PromotionRequested:
		g.unusable = true
	case PrimaryConfirmed:
		g.primary, g.term = e.Member, e.Status.Term
		g.unusable = e.Status.Received.Offset < e.LogEnd.Offset
		g.end, g.ended = e.Status.Received, now
	}
}

// learn takes in news of the record. Hosts adopt the primary of a newer one; one
// that holds the group anew asks the members, whatever it knew before.
func (g *Group) learn(e lease.Event, now time.Time) {
	old, rev, _ := g.tenure.Record()
	g.tenure.Handle(e, now)
	s, ok := e.(lease.RecordObserved)
	if !ok || s.Revision <= rev {
		return
	}
	if s.Record.Holder.ID == g.self.ID && s.Record.Epoch != old.Epoch {
		g.found, g.unusable, g.silent, g.nearBy = false, false, 0, time.Time{}
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
	case o.Position.Less(g.end) && o.Sent.After(g.ended):
		g.unusable = true
	case g.end.Less(o.Position):
		g.end, g.ended = o.Position, now
	}
}

// leader returns the member that leads the highest term, no lower than that of
// the record.
func (g *Group) leader(l []MemberStatus) (MemberStatus, bool) {
	r, _, _ := g.tenure.Record()
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

// discover decides on the primary from what the members say. What any of them
// holds, the primary must hold from then on: if it reports less, it has started
// again without its log, or another member was promoted.
func (g *Group) discover(l []MemberStatus, now time.Time) {
	for _, a := range l {
		if a.Err == nil && g.end.Less(a.Status.Received) {
			g.end, g.ended = a.Status.Received, now
		}
	}
	r, _, _ := g.tenure.Record()
	best, ok := g.leader(l)
	switch {
	case ok && (r.Target == "" || best.Status.Term > r.Term):
		g.primary, g.term = best.Member.ID, best.Status.Term
	case r.Target == "" && r.Primary != "":
		g.primary, g.term = r.Primary, r.Term
	case r.Target != "":
		// A promotion was asked for and may still take effect, so the old primary
		// isn't used again.
		g.unusable = true
	default:
		return
	}
	g.found, g.silent = true, 0
}

// Record returns the group's record and its revision, or false if none is known.
func (g *Group) Record() (lease.Record, uint64, bool) { return g.tenure.Record() }

// Holder returns the process that holds the group, as far as is known.
func (g *Group) Holder() lease.Holder {
	r, _, _ := g.tenure.Record()
	return r.Holder
}

// Primary returns the primary and its term, empty if unknown.
func (g *Group) Primary() (string, uint64) { return g.primary, g.term }

// MaySend reports whether the host may send new work to the primary now.
func (g *Group) MaySend(now time.Time) bool {
	return g.tenure.Holds(now) && g.found && !g.replacing && !g.unusable
}

// MayFinish reports whether the host may continue open transactions.
func (g *Group) MayFinish(now time.Time) bool { return g.tenure.Finishing(now) }

// Usable reports whether nothing speaks against the primary.
func (g *Group) Usable() bool { return !g.unusable }

// Discovered reports whether the holder knows the primary.
func (g *Group) Discovered() bool { return g.found }

// ReportsLogEnd reports whether a member's position is the end of the group's log.
func (g *Group) ReportsLogEnd(member string, now time.Time) bool {
	return member == g.primary && g.tenure.Holds(now)
}

// UnfinishedHolders returns the earlier holders that may still send work.
func (g *Group) UnfinishedHolders(now time.Time) []lease.Holder { return g.tenure.Waiting(now) }

// ConfirmDue reports whether the record is to be asked for now.
func (g *Group) ConfirmDue(now time.Time) bool { return g.tenure.Confirm(now) }

// IsPreviousHolder reports whether the host stands among the earlier holders of the record.
func (g *Group) IsPreviousHolder() bool {
	r, rev, known := g.tenure.Record()
	return known && rev > 0 && slices.Contains(r.PreviousHolders, g.self)
}

// ReleaseRecord returns the record without the host among the earlier holders, and
// whether it stood there; the host must have finished its work.
func (g *Group) ReleaseRecord(now time.Time) (lease.Record, uint64, bool) {
	g.tenure.Handle(lease.Finished{}, now)
	r, ok := g.tenure.Released()
	_, rev, _ := g.tenure.Record()
	return r, rev, ok
}

// AcquireRecord returns the record by which the host takes the group over, and the
// revision that it must replace.
func (g *Group) AcquireRecord() (lease.Record, uint64) {
	_, rev, known := g.tenure.Record()
	if !known {
		rev = 0
	}
	return g.tenure.Take(), rev
}

// TransferRecord returns the record by which the holder passes the group on.
func (g *Group) TransferRecord(to lease.Holder, now time.Time) (lease.Record, uint64) {
	_, rev, _ := g.tenure.Record()
	return g.tenure.Give(to, now), rev
}

// IntentRecord returns the record that announces a promotion, and whether the host may
// write it.
func (g *Group) IntentRecord(now time.Time) (lease.Record, uint64, bool) {
	r, rev, _ := g.tenure.Record()
	r.Primary, r.Term, r.Target = g.primary, max(g.term, r.Term), pendingTarget
	return r, rev, g.tenure.MayReplace(now)
}

// Promotion returns the fencing token of a promotion and the term that it must
// exceed, and whether the host may ask for it.
func (g *Group) Promotion(now time.Time) (token, term uint64, ok bool) {
	r, rev, _ := g.tenure.Record()
	return rev, max(g.term, r.Term), g.tenure.MayReplace(now) && r.Target != ""
}

// PrimaryRecord returns the record that names the primary, and whether the host may
// write it.
func (g *Group) PrimaryRecord(now time.Time) (lease.Record, uint64, bool) {
	r, rev, _ := g.tenure.Record()
	ok := r.Holder.ID == g.self.ID && !g.unusable
	r.Primary, r.Term, r.Target = g.primary, g.term, ""
	r.PreviousHolders = g.tenure.Waiting(now)
	return r, rev, ok
}

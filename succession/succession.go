// Package succession decides for one database group, at one host, who holds the
// group, whether its primary is failing, and which member replaces it. It does no
// I/O and reads no clock; the daemon and the model drive the same code.
package succession

import (
	"slices"
	"time"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/tenure"
)

// Timing and limits of the watch over a primary.
const (
	// silenceBeforeProbe is how long a primary may not answer before fresh connections
	// are tried.
	silenceBeforeProbe = 300 * time.Millisecond
	// silenceWithRefusals is the same for a primary whose connections fail to open.
	silenceWithRefusals = 100 * time.Millisecond
	// DeadProbes is the number of fresh connections that fail in a row before a
	// primary is replaced, so that one lost packet doesn't do it.
	DeadProbes = 2
	// transferDelay is how long another host has to stand nearer to the primary before
	// it is given the group, so that short suspicions don't move it.
	transferDelay = 2 * time.Second
)

// pendingTarget stands in the record while a promotion may be asked for.
const pendingTarget = "pending"

// Answer is a member's status, or why there is none.
type Answer struct {
	Member catalog.Member
	Status query.Status
	Err    error
}

// Event is something that a group learns.
type Event interface{ event() }

// Tenure is news of the group's record or of its holders.
type Tenure struct{ Event tenure.Event }

// Observed tells of a position that a member reported to a request sent at Sent.
type Observed struct {
	Member   string
	Position logpos.Position
	Sent     time.Time
}

// Surveyed tells what the members answered after Discover.
type Surveyed struct{ Answers []Answer }

// Probed tells whether a fresh connection to the primary failed.
type Probed struct{ Failed bool }

// Began tells that the replacement of the primary begins.
type Began struct{}

// Stopped tells that the replacement is over, whatever its outcome.
type Stopped struct{}

// Asked tells that a promotion is being asked for; it may take effect at any time
// from then on.
type Asked struct{}

// Led tells that a member leads.
type Led struct {
	Member string
	Status query.Status
	// Had is the end of its log when it was chosen. Offsets go on in the next term,
	// so one that has less now has started again without its log.
	Had logpos.Position
}

func (Tenure) event()   {}
func (Observed) event() {}
func (Surveyed) event() {}
func (Probed) event()   {}
func (Began) event()    {}
func (Stopped) event()  {}
func (Asked) event()    {}
func (Led) event()      {}

// Group is one host's knowledge of a database group. It is not safe for
// concurrent use.
type Group struct {
	self  tenure.Party
	lease *tenure.State
	// primary and term are what the holder sends work to, empty until it has
	// found out; other hosts have them from the record.
	primary string
	term    uint64
	// discovered tells that the holder has asked the members for the primary.
	discovered bool
	// replacing tells that the primary is being replaced.
	replacing bool
	// unusable tells that the primary isn't to be used: its log has lost entries,
	// or a promotion has been asked for.
	unusable bool
	// logEnd is the furthest position that the primary reported, ended when it was
	// heard; a holder notes them.
	logEnd   logpos.Position
	logEndAt time.Time
	// failedProbes counts the fresh connections to the primary that failed in a row.
	failedProbes int
	// nearerSince is since when another host stands nearer to the primary, zero if none
	// does.
	nearerSince time.Time
}

// New returns the knowledge of the host self, which is none.
func New(self tenure.Party) *Group { return &Group{self: self, lease: tenure.New(self)} }

// Handle takes in an event.
func (g *Group) Handle(e Event, now time.Time) {
	switch e := e.(type) {
	case Tenure:
		g.handleLease(e.Event, now)
	case Observed:
		g.observe(e, now)
	case Surveyed:
		g.discover(e.Answers, now)
	case Probed:
		g.failedProbes++
		if !e.Failed {
			g.failedProbes = 0
		}
	case Began:
		g.replacing = true
	case Stopped:
		g.replacing, g.failedProbes = false, 0
	case Asked:
		g.unusable = true
	case Led:
		g.primary, g.term = e.Member, e.Status.Term
		g.unusable = e.Status.Received.Offset < e.Had.Offset
		g.logEnd, g.logEndAt = e.Status.Received, now
	}
}

// handleLease takes in news of the record. Hosts adopt the primary of a newer one; one
// that holds the group anew asks the members, whatever it knew before.
func (g *Group) handleLease(e tenure.Event, now time.Time) {
	old, rev, _ := g.lease.Record()
	g.lease.Handle(e, now)
	s, ok := e.(tenure.Seen)
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
func (g *Group) observe(o Observed, now time.Time) {
	if !g.Counts(o.Member, now) {
		return
	}
	switch {
	case o.Position.Less(g.logEnd) && o.Sent.After(g.logEndAt):
		g.unusable = true
	case g.logEnd.Less(o.Position):
		g.logEnd, g.logEndAt = o.Position, now
	}
}

// reportedPrimary returns the member that leads the highest term, no lower than that of
// the record.
func (g *Group) reportedPrimary(l []Answer) (Answer, bool) {
	r, _, _ := g.lease.Record()
	best := -1
	for i, a := range l {
		if a.Err == nil && a.Status.Primary && a.Status.Term >= r.Term && (best < 0 || a.Status.Term > l[best].Status.Term) {
			best = i
		}
	}
	if best < 0 {
		return Answer{}, false
	}
	return l[best], true
}

// discover decides on the primary from what the members say. What any of them
// holds, the primary must hold from then on: if it reports less, it has started
// again without its log, or another member was promoted.
func (g *Group) discover(l []Answer, now time.Time) {
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
		// A promotion was asked for and may still take effect, so the old primary
		// isn't used again.
		g.unusable = true
	default:
		return
	}
	g.discovered, g.failedProbes = true, 0
}

// Record returns the group's record and its revision, or false if none is known.
func (g *Group) Record() (tenure.Record, uint64, bool) { return g.lease.Record() }

// Holder returns the process that holds the group, as far as is known.
func (g *Group) Holder() tenure.Party {
	r, _, _ := g.lease.Record()
	return r.Holder
}

// Primary returns the primary and its term, empty if unknown.
func (g *Group) Primary() (string, uint64) { return g.primary, g.term }

// Serves reports whether the host may send new work to the primary now.
func (g *Group) Serves(now time.Time) bool {
	return g.lease.Holds(now) && g.discovered && !g.replacing && !g.unusable
}

// Finishing reports whether the host may continue open transactions.
func (g *Group) Finishing(now time.Time) bool { return g.lease.MayFinish(now) }

// Usable reports whether nothing speaks against the primary.
func (g *Group) Usable() bool { return !g.unusable }

// Found reports whether the holder knows the primary.
func (g *Group) Found() bool { return g.discovered }

// Counts reports whether a member's position is the end of the group's log.
func (g *Group) Counts(member string, now time.Time) bool {
	return member == g.primary && g.lease.Holds(now)
}

// Waiting returns the earlier holders that may still send work.
func (g *Group) Waiting(now time.Time) []tenure.Party { return g.lease.UnfinishedHolders(now) }

// Confirm reports whether the record is to be asked for now.
func (g *Group) Confirm(now time.Time) bool { return g.lease.ConfirmDue(now) }

// Prior reports whether the host stands among the earlier holders of the record.
func (g *Group) Prior() bool {
	r, rev, known := g.lease.Record()
	return known && rev > 0 && slices.Contains(r.Prior, g.self)
}

// Released returns the record without the host among the earlier holders, and
// whether it stood there; the host must have finished its work.
func (g *Group) Released(now time.Time) (tenure.Record, uint64, bool) {
	g.lease.Handle(tenure.WorkFinished{}, now)
	r, ok := g.lease.ReleaseRecord()
	_, rev, _ := g.lease.Record()
	return r, rev, ok
}

// Taken returns the record by which the host takes the group over, and the
// revision that it must replace.
func (g *Group) Taken() (tenure.Record, uint64) {
	_, rev, known := g.lease.Record()
	if !known {
		rev = 0
	}
	return g.lease.AcquireRecord(), rev
}

// Given returns the record by which the holder passes the group on.
func (g *Group) Given(to tenure.Party, now time.Time) (tenure.Record, uint64) {
	_, rev, _ := g.lease.Record()
	return g.lease.TransferRecord(to, now), rev
}

// Intent returns the record that announces a promotion, and whether the host may
// write it.
func (g *Group) Intent(now time.Time) (tenure.Record, uint64, bool) {
	r, rev, _ := g.lease.Record()
	r.Primary, r.Term, r.Target = g.primary, max(g.term, r.Term), pendingTarget
	return r, rev, g.lease.MayReplace(now)
}

// Promotion returns the fencing token of a promotion and the term that it must
// exceed, and whether the host may ask for it.
func (g *Group) Promotion(now time.Time) (token, term uint64, ok bool) {
	r, rev, _ := g.lease.Record()
	return rev, max(g.term, r.Term), g.lease.MayReplace(now) && r.Target != ""
}

// Settled returns the record that names the primary, and whether the host may
// write it.
func (g *Group) Settled(now time.Time) (tenure.Record, uint64, bool) {
	r, rev, _ := g.lease.Record()
	ok := r.Holder.ID == g.self.ID && !g.unusable
	r.Primary, r.Term, r.Target = g.primary, g.term, ""
	r.Prior = g.lease.UnfinishedHolders(now)
	return r, rev, ok
}

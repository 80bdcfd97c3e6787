package succession

import (
	"time"
)

// Facts is what a host knows besides the group's own state.
type Facts struct {
	// Leaving tells that the host drains, Registered that its entry stands in the
	// store.
	Leaving    bool
	Registered bool
	// HolderGone tells that the group may be taken from its holder.
	HolderGone bool
	// First tells that the host is the first choice to hold the group.
	First bool
	// Nearer tells that another host stands nearer to the primary.
	Nearer bool
	// Busy tells that work which the host began on the group hasn't ended.
	Busy bool
	// Listed tells that the primary has an entry, Draining that it is to be given
	// back.
	Listed   bool
	Draining bool
	// Contact is what the connections to the primary show; nil if there is none.
	Contact *Contact
}

// Contact is what the connections to a member show.
type Contact struct {
	// Failures counts connections that could not be opened since the last reply,
	// which came at the time Heard.
	Failures int
	Heard    time.Time
}

// Action is something that a group needs of the host.
type Action interface{ action() }

// TakeOver makes the host the holder.
type TakeOver struct{}

// Release tells the holder that this host, an earlier one, sends no more work.
type Release struct{}

// Discover asks the members for the primary.
type Discover struct{}

// GiveAway passes the group to another host.
type GiveAway struct{}

// AskPrior asks whether the earlier holders have ended.
type AskPrior struct{}

// Record writes the primary into the record, so that a later holder knows it.
type Record struct{}

// Probe tries fresh connections to the primary.
type Probe struct{}

// Replace has another member made primary.
type Replace struct{ Why Reason }

// Reason tells why a primary is replaced.
type Reason string

// The reasons.
const (
	PrimaryRemoved  Reason = "removed"
	PrimaryUnusable Reason = "unusable"
	Draining        Reason = "draining"
	PrimarySilent   Reason = "silent"
)

func (TakeOver) action() {}
func (Release) action()  {}
func (Discover) action() {}
func (GiveAway) action() {}
func (AskPrior) action() {}
func (Record) action()   {}
func (Probe) action()    {}
func (Replace) action()  {}

// Next returns what the group needs of the host now, or nil.
func (g *Group) Next(f Facts, now time.Time) Action {
	r, _, known := g.lease.Record()
	switch {
	case known && r.Holder.ID == g.self.ID:
		return g.holderAction(f, now)
	case g.Prior() && !f.Busy:
		return Release{}
	case f.Leaving || !f.Registered || known && !f.HolderGone || !f.First:
		return nil
	default:
		return TakeOver{}
	}
}

// holderAction returns the work of the holder.
func (g *Group) holderAction(f Facts, now time.Time) Action {
	switch {
	case !g.lease.Holds(now):
		return nil
	case !g.discovered:
		return Discover{}
	case f.Leaving:
		return GiveAway{}
	case g.primaryUnrecorded():
		return Record{}
	case len(g.lease.UnfinishedHolders(now)) > 0:
		return AskPrior{}
	case g.unusable:
		return Replace{Why: PrimaryUnusable}
	case f.Draining:
		return Replace{Why: Draining}
	case !f.Listed:
		return Replace{Why: PrimaryRemoved}
	}
	if a := g.monitorPrimary(f, now); a != nil {
		return a
	}
	if g.transferDue(f, now) {
		return GiveAway{}
	}
	return nil
}

// primaryUnrecorded reports whether the record doesn't name the primary.
func (g *Group) primaryUnrecorded() bool {
	r, _, _ := g.lease.Record()
	return !g.unusable && g.primary != "" && (r.Primary != g.primary || r.Term != g.term)
}

// transferDue reports whether another host has stood nearer to the primary for a
// while.
func (g *Group) transferDue(f Facts, now time.Time) bool {
	if !f.Nearer {
		g.nearerSince = time.Time{}
		return false
	}
	if g.nearerSince.IsZero() {
		g.nearerSince = now
	}
	return now.Sub(g.nearerSince) > transferDelay
}

// monitorPrimary returns the work of trying or replacing a silent primary.
func (g *Group) monitorPrimary(f Facts, now time.Time) Action {
	if f.Contact == nil {
		return nil
	}
	if g.failedProbes >= DeadProbes {
		return Replace{Why: PrimarySilent}
	}
	silence := now.Sub(f.Contact.Heard)
	if silence < silenceBeforeProbe && (f.Contact.Failures < DeadProbes || silence < silenceWithRefusals) {
		g.failedProbes = 0
		return nil
	}
	return Probe{}
}

package succession

import (
	"time"
)

// Facts is the state of the host and of its connections on which the next action
// depends in addition to the group's own state.
type Facts struct {
	// Leaving is set while the host drains.
	Leaving bool
	// Registered is set while the host's entry is in the store.
	Registered bool
	// HolderGone is set if the group may be taken over from its holder.
	HolderGone bool
	// First is set if the host is the first choice to hold the group.
	First bool
	// Nearer is set if another host is nearer to the primary.
	Nearer bool
	// Busy is set while work that the host began on the group has not ended.
	Busy bool
	// Listed is set if the primary has an entry in the store.
	Listed bool
	// Draining is set if the primary is to be given back to the platform.
	Draining bool
	// Contact is the state of the connections to the primary, nil if there are
	// none.
	Contact *Contact
}

// Contact is the state of the connections to a member.
type Contact struct {
	// Failures counts the connections that could not be opened since the last
	// reply.
	Failures int
	// Heard is when the last reply was received.
	Heard time.Time
}

// Action is what the host must do next for a group.
type Action interface{ action() }

// TakeOver makes the host the holder of the group's lease.
type TakeOver struct{}

// Release removes this host from the previous holders in the record, since it
// sends no more work to the primary.
type Release struct{}

// Discover polls the members to find the primary.
type Discover struct{}

// GiveAway transfers the group's lease to another host.
type GiveAway struct{}

// AskPrior polls the previous holders to find out whether their processes have
// ended.
type AskPrior struct{}

// Record writes the primary into the group's record, where the next holder finds
// it.
type Record struct{}

// Probe opens fresh connections to the primary.
type Probe struct{}

// Replace promotes another member in place of the primary.
type Replace struct{ Why Reason }

// Reason is why a primary is replaced.
type Reason string

// The reasons for a replacement.
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

// Next returns what the host must do now for the group, or nil.
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

// holderAction returns the next action of the holder, or nil.
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

// primaryUnrecorded reports whether the record lacks the current primary or its
// term.
func (g *Group) primaryUnrecorded() bool {
	r, _, _ := g.lease.Record()
	return !g.unusable && g.primary != "" && (r.Primary != g.primary || r.Term != g.term)
}

// transferDue reports whether another host has been nearer to the primary for
// longer than transferDelay.
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

// monitorPrimary returns the action to probe or replace a primary that doesn't
// reply, or nil.
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

package takeover

import (
	"time"
)

// HostState is what a host knows besides the group's own state.
type HostState struct {
	// HostDraining tells that the host drains, Registered that its entry stands in the
	// store.
	HostDraining bool
	Registered   bool
	// TakeoverAllowed tells that the group may be taken from its holder.
	TakeoverAllowed bool
	// FirstCandidate tells that the host is the first choice to hold the group.
	FirstCandidate bool
	// NearerHost tells that another host stands nearer to the primary.
	NearerHost bool
	// WorkPending tells that work which the host began on the group hasn't ended.
	WorkPending bool
	// PrimaryListed tells that the primary has an entry, Draining that it is to be given
	// back.
	PrimaryListed   bool
	PrimaryDraining bool
	// PrimaryHealth is what the connections to the primary show; nil if there is none.
	PrimaryHealth *ConnectionHealth
}

// ConnectionHealth is what the connections to a member show.
type ConnectionHealth struct {
	// Failures counts connections that could not be opened since the last reply,
	// which came at the time Heard.
	Failures  int
	LastReply time.Time
}

// Action is something that a group needs of the host.
type Action interface{ action() }

// AcquireLease makes the host the holder.
type AcquireLease struct{}

// ReleaseLease tells the holder that this host, an earlier one, sends no more work.
type ReleaseLease struct{}

// DiscoverPrimary asks the members for the primary.
type DiscoverPrimary struct{}

// TransferLease passes the group to another host.
type TransferLease struct{}

// PollPreviousHolders asks whether the earlier holders have ended.
type PollPreviousHolders struct{}

// RecordPrimary writes the primary into the record, so that a later holder knows it.
type RecordPrimary struct{}

// ProbePrimary tries fresh connections to the primary.
type ProbePrimary struct{}

// ReplacePrimary has another member made primary.
type ReplacePrimary struct{ Reason Reason }

// Reason tells why a primary is replaced.
type Reason string

// The reasons.
const (
	Removed         Reason = "removed"
	Unusable        Reason = "unusable"
	PrimaryDraining Reason = "draining"
	Silent          Reason = "silent"
)

func (AcquireLease) action()        {}
func (ReleaseLease) action()        {}
func (DiscoverPrimary) action()     {}
func (TransferLease) action()       {}
func (PollPreviousHolders) action() {}
func (RecordPrimary) action()       {}
func (ProbePrimary) action()        {}
func (ReplacePrimary) action()      {}

// Next returns what the group needs of the host now, or nil.
func (g *Group) Next(f HostState, now time.Time) Action {
	r, _, known := g.tenure.Record()
	switch {
	case known && r.Holder.ID == g.self.ID:
		return g.hold(f, now)
	case g.IsPreviousHolder() && !f.WorkPending:
		return ReleaseLease{}
	case f.HostDraining || !f.Registered || known && !f.TakeoverAllowed || !f.FirstCandidate:
		return nil
	default:
		return AcquireLease{}
	}
}

// hold returns the work of the holder.
func (g *Group) hold(f HostState, now time.Time) Action {
	switch {
	case !g.tenure.Holds(now):
		return nil
	case !g.found:
		return DiscoverPrimary{}
	case f.HostDraining:
		return TransferLease{}
	case g.unrecorded():
		return RecordPrimary{}
	case len(g.tenure.Waiting(now)) > 0:
		return PollPreviousHolders{}
	case g.unusable:
		return ReplacePrimary{Reason: Unusable}
	case f.PrimaryDraining:
		return ReplacePrimary{Reason: PrimaryDraining}
	case !f.PrimaryListed:
		return ReplacePrimary{Reason: Removed}
	}
	if a := g.watch(f, now); a != nil {
		return a
	}
	if g.farther(f, now) {
		return TransferLease{}
	}
	return nil
}

// unrecorded reports whether the record doesn't name the primary.
func (g *Group) unrecorded() bool {
	r, _, _ := g.tenure.Record()
	return !g.unusable && g.primary != "" && (r.Primary != g.primary || r.Term != g.term)
}

// farther reports whether another host has stood nearer to the primary for a
// while.
func (g *Group) farther(f HostState, now time.Time) bool {
	if !f.NearerHost {
		g.nearBy = time.Time{}
		return false
	}
	if g.nearBy.IsZero() {
		g.nearBy = now
	}
	return now.Sub(g.nearBy) > betterTime
}

// watch returns the work of trying or replacing a silent primary.
func (g *Group) watch(f HostState, now time.Time) Action {
	if f.PrimaryHealth == nil {
		return nil
	}
	if g.silent >= MaxFailedProbes {
		return ReplacePrimary{Reason: Silent}
	}
	silence := now.Sub(f.PrimaryHealth.LastReply)
	if silence < silenceTime && (f.PrimaryHealth.Failures < MaxFailedProbes || silence < refusedTime) {
		g.silent = 0
		return nil
	}
	return ProbePrimary{}
}

package takeover

import (
	"time"

	"github.com/dragonflypick/dragonflypick/lease"
)

// HostState is what the next action depends on in addition to the state in
// Group: the host's state, and its observations of the other hosts and of the
// primary.
type HostState struct {
	// HostDraining is set while the host drains.
	HostDraining bool
	// Registered is set while the store lists the host.
	Registered bool
	// TakeoverAllowed is set if this host may take the lease over from its holder.
	TakeoverAllowed bool
	// PreferredHolder is set if this host, rather than another, should hold the
	// lease.
	PreferredHolder bool
	// NearerHostExists is set if another host is nearer to the primary, or is to hold the
	// group since it carries less.
	NearerHostExists bool
	// FarFromPrimary is set if this host is in another region than the primary, so that
	// each statement takes the round trip between regions.
	FarFromPrimary bool
	// WorkPending is set while work that the host has started on the primary
	// has not ended.
	WorkPending bool
	// PrimaryListed is set if the store lists the primary.
	PrimaryListed bool
	// PrimaryDraining is set if the primary takes no new work because it is to be
	// returned to the platform.
	PrimaryDraining bool
	// Members are the listed members of a group whose commits wait for replicas; empty for
	// other groups.
	Members []lease.Member
	// PrimaryHealth is the state of the connections to the primary, nil if
	// there are none.
	PrimaryHealth *ConnectionHealth
}

// ConnectionHealth is the state of the host's connections to a member.
type ConnectionHealth struct {
	// Failures counts the connections that could not be opened since the last
	// reply.
	Failures int
	// LastReply is when the last reply was received.
	LastReply time.Time
}

// Action is what the host must do now for a group.
type Action interface{ action() }

// AcquireLease makes the host the holder of the group's lease.
type AcquireLease struct{}

// RewriteLease writes the record of this host again, which the store has lost.
type RewriteLease struct{}

// ReleaseLease removes this host from the previous holders in the record, once it
// sends no more work to the primary.
type ReleaseLease struct{}

// DiscoverPrimary polls the members to find the primary.
type DiscoverPrimary struct{}

// TransferLease transfers the group's lease to another host.
type TransferLease struct{}

// PollPreviousHolders polls the previous holders to find out whether their
// processes have ended.
type PollPreviousHolders struct{}

// AwaitPromotion asks a member, whose promotion an earlier holder has requested, whether it
// is primary.
type AwaitPromotion struct{ Member string }

// RecordPrimary writes the primary and its term into the group's record, from
// which the next holder reads them.
type RecordPrimary struct{}

// RecordMembers writes the group's members into its record, from which a later holder
// learns of those that the store doesn't list any more.
type RecordMembers struct{}

// ProbePrimary opens fresh connections to the primary.
type ProbePrimary struct{}

// ReplacePrimary promotes another member in place of the primary.
type ReplacePrimary struct{ Reason Reason }

// Reason is why a primary is replaced.
type Reason string

// The reasons for a replacement.
const (
	PrimaryRemoved  Reason = "removed"
	PrimaryUnusable Reason = "unusable"
	PrimaryDraining Reason = "draining"
	PrimarySilent   Reason = "silent"
)

func (AcquireLease) action()        {}
func (RewriteLease) action()        {}
func (ReleaseLease) action()        {}
func (DiscoverPrimary) action()     {}
func (TransferLease) action()       {}
func (PollPreviousHolders) action() {}
func (AwaitPromotion) action()      {}
func (RecordPrimary) action()       {}
func (RecordMembers) action()       {}
func (ProbePrimary) action()        {}
func (ReplacePrimary) action()      {}

// NextAction returns the action that the host must take now for the group, or nil.
func (g *Group) NextAction(f HostState, now time.Time) Action {
	g.observeSole(now)
	r, known := g.lease.Record()
	switch {
	case g.lease.MustRewrite(now):
		return RewriteLease{}
	case known && !g.lease.Restored() && r.Holder.ID == g.self.ID:
		return g.holderAction(f, now)
	case g.IsPreviousHolder() && !f.WorkPending:
		return ReleaseLease{}
	case f.HostDraining || !f.Registered || !g.lease.MayAcquire(now):
		return nil
	case g.lease.Succeeds():
		return AcquireLease{}
	case !f.PreferredHolder && !g.lease.Abandoned(now):
		return nil
	case known && !g.lease.Restored() && !f.TakeoverAllowed:
		return nil
	case f.FarFromPrimary && known && !g.farTakeoverDue(now):
		return nil
	default:
		return AcquireLease{}
	}
}

// farTakeoverDue reports whether a host of another region may take the lease over: not
// right after it could do so, or could do so again, since nearer hosts may have started
// that it doesn't know of yet.
func (g *Group) farTakeoverDue(now time.Time) bool {
	if now.Sub(g.farAskedAt) > farTakeoverDelay {
		g.farSince = now
	}
	g.farAskedAt = now
	return now.Sub(g.farSince) >= farTakeoverDelay
}

// holderAction returns the action that the holder must take now, or nil.
func (g *Group) holderAction(f HostState, now time.Time) Action {
	r, _ := g.lease.Record()
	shared := len(g.lease.UnfinishedHolders(now)) > 0
	switch {
	case !g.lease.Holds(now):
		return nil
	case !g.primaryDiscovered || g.checkDue(f):
		return DiscoverPrimary{}
	case f.HostDraining:
		return TransferLease{}
	case g.primaryUnrecorded(), !g.primaryUnusable && g.lease.SettleDue(now):
		return RecordPrimary{}
	case g.membersDue(f.Members):
		return RecordMembers{}
	case g.promotionAwaited(now) && !(shared && g.awaitedLast):
		g.awaitedLast = true
		return AwaitPromotion{Member: r.Target}
	case shared:
		g.awaitedLast = false
		return g.waitingAction(f, now)
	case g.primaryUnusable:
		return ReplacePrimary{Reason: PrimaryUnusable}
	case f.PrimaryDraining:
		return ReplacePrimary{Reason: PrimaryDraining}
	case !f.PrimaryListed:
		return ReplacePrimary{Reason: PrimaryRemoved}
	}
	if a := g.monitorPrimary(f, now); a != nil {
		return a
	}
	switch {
	case g.transferDue(f, now):
		return TransferLease{}
	case g.dropDue(f.Members, now):
		return RecordMembers{}
	case g.logEndUnrecorded(), r.CallsPending && !g.callsPending(now):
		return RecordPrimary{}
	default:
		return nil
	}
}

// waitingAction returns the next action while previous holders may still send work to the
// primary: in turn, whether one of them has ended, and whether a silent primary answers.
func (g *Group) waitingAction(f HostState, now time.Time) Action {
	if h := f.PrimaryHealth; h != nil {
		switch {
		case now.Sub(h.LastReply) < silenceBeforeProbe:
			g.failedProbes = 0
		case !g.probedLast:
			g.probedLast = true
			return ProbePrimary{}
		}
	}
	g.probedLast = false
	return PollPreviousHolders{}
}

// PrimaryState is what a host knows of the primary in addition to the state in Group.
type PrimaryState struct {
	// Listed is set if the store lists the primary.
	Listed bool
	// Closed is set if the primary gets no new work any more, since it is to be returned.
	Closed bool
}

// BlockedUntil returns until when the holder can't replace a primary that has failed or is
// closed, since a previous holder may still send work to it, or a call that requested another
// promotion may yet be carried out; zero if the primary may be used, or can be replaced. A
// request whose deadline is earlier can't be served.
func (g *Group) BlockedUntil(p PrimaryState, now time.Time) time.Time {
	if p.Listed && !p.Closed && !g.primaryUnusable && g.failedProbes < MaxFailedProbes {
		return time.Time{}
	}
	t := latest(g.lease.UnfinishedUntil(now), g.lease.UnsettledUntil(now))
	if s := g.settledAt(); now.Before(s) && !g.promotionExpected(now) {
		t = latest(t, s)
	}
	return t
}

// primaryUnrecorded reports whether the record lacks the current primary or its
// term, or holds them as uncertain.
func (g *Group) primaryUnrecorded() bool {
	r, _ := g.lease.Record()
	return !g.primaryUnusable && g.primary != "" && (r.Primary != g.primary || r.Term != g.term || r.PrimaryUncertain)
}

// transferDue reports whether another host has been nearer to the primary for
// longer than transferDelay.
func (g *Group) transferDue(f HostState, now time.Time) bool {
	if !f.NearerHostExists {
		g.nearerSince = time.Time{}
		return false
	}
	if g.nearerSince.IsZero() {
		g.nearerSince = now
	}
	if f.FarFromPrimary {
		return now.Sub(g.nearerSince) > farTransferDelay
	}
	return now.Sub(g.nearerSince) > transferDelay
}

// monitorPrimary returns the action to probe or replace a primary that doesn't
// reply, or nil.
func (g *Group) monitorPrimary(f HostState, now time.Time) Action {
	if f.PrimaryHealth == nil {
		return nil
	}
	if g.failedProbes >= MaxFailedProbes {
		return ReplacePrimary{Reason: PrimarySilent}
	}
	silence := now.Sub(f.PrimaryHealth.LastReply)
	if silence < silenceBeforeProbe && (f.PrimaryHealth.Failures < MaxFailedProbes || silence < silenceWithRefusals) {
		g.failedProbes = 0
		return nil
	}
	return ProbePrimary{}
}

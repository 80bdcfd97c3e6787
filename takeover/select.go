package takeover

import (
	"slices"
	"time"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/logpos"
)

// SelectionInput is the input from which the member to promote is selected.
type SelectionInput struct {
	// Statuses holds the status of each polled member.
	Statuses []MemberStatus
	// RequestedAt is when the first status was requested.
	RequestedAt time.Time
	// OldPrimary is the ID of the primary to replace.
	OldPrimary string
	// OldPrimaryGone is set if the store doesn't list the old primary any more, so that it
	// doesn't come back with its log.
	OldPrimaryGone bool
	// SyncReplicas is the number of replicas that must have a commit before it is
	// acknowledged.
	SyncReplicas int
	// Planned is set if the old primary still replies, so that a replica may be
	// given time to catch up.
	Planned bool
	// CatchUpExpired is set once that time is over.
	CatchUpExpired bool
	// Nearer reports whether a is nearer to the host than b.
	Nearer func(a, b catalog.Member) bool
}

// SelectionResult is the result of a selection of the member to promote.
type SelectionResult uint8

// The results of a selection.
const (
	// NoCandidate means that no member may be promoted now.
	NoCandidate SelectionResult = iota
	// CandidateCatchingUp means that the selected replica lacks entries of the old
	// primary's log and has time left to receive them.
	CandidateCatchingUp
	// CandidateUnsafe means that a member answers, but may lack an acknowledged commit.
	CandidateUnsafe
	// CandidateReady means that the selected member may be promoted.
	CandidateReady
	// CandidateLeads means that the selected member is the primary already.
	CandidateLeads
	// CandidatePending means that no member may be promoted until the promotions that were
	// requested before have taken effect.
	CandidatePending
)

// SelectCandidate returns the member to promote: one that is already primary, or
// else the replica with the furthest log position. While the promotion of another member
// may yet take effect, only that may be requested again.
func (g *Group) SelectCandidate(c SelectionInput) (MemberStatus, SelectionResult) {
	logs := c
	logs.Statuses = g.withLogs(c)
	if a, ok := g.selectLeader(logs.Statuses, c); ok {
		return a, CandidateLeads
	}
	if !g.promotionsSettled(c.RequestedAt) {
		t := g.promotions.target
		logs.Statuses = slices.DeleteFunc(slices.Clone(logs.Statuses), func(a MemberStatus) bool { return a.Member.ID != t && a.Member.ID != c.OldPrimary })
		if !slices.ContainsFunc(logs.Statuses, func(a MemberStatus) bool { return a.Err == nil && a.Member.ID == t }) {
			return MemberStatus{}, CandidatePending
		}
	}
	p, caughtUp, ok := selectReplica(logs)
	switch {
	case !ok:
		return MemberStatus{}, NoCandidate
	case c.SyncReplicas > 0 && !g.hasAllCommits(c, p.Status.Received):
		if c.Planned && !caughtUp && !c.CatchUpExpired {
			return p, CandidateCatchingUp
		}
		return MemberStatus{}, CandidateUnsafe
	case c.Planned && !caughtUp && !c.CatchUpExpired:
		return p, CandidateCatchingUp
	default:
		return p, CandidateReady
	}
}

// selectLeader returns the member of the highest term among l that is the primary already:
// after an earlier promotion request, or because the primary has come back under another
// ID with its log.
func (g *Group) selectLeader(l []MemberStatus, c SelectionInput) (MemberStatus, bool) {
	best := -1
	for i, a := range l {
		switch {
		case a.Err != nil, a.Member.ID == c.OldPrimary, exceeded(a, c.Statuses):
		case !g.leads(a, c.Statuses, c.RequestedAt) && !g.hasReturned(a):
		case best < 0 || a.Status.Term > l[best].Status.Term:
			best = i
		}
	}
	if best < 0 {
		return MemberStatus{}, false
	}
	return l[best], true
}

// hasReturned reports whether a member is the primary under another ID, with its log.
func (g *Group) hasReturned(a MemberStatus) bool {
	s := a.Status
	return s.Primary && s.Term == g.term && a.Member.ID != g.primary && !s.Received.Less(g.logEnd) && !g.primaryUnusable
}

// selectReplica returns the replica with the furthest log position, and whether
// it has reached the position that the old primary reported. If commits are
// acknowledged without waiting for replicas, a draining replica is not selected;
// otherwise the furthest is selected even if it is draining.
func selectReplica(c SelectionInput) (a MemberStatus, caughtUp, ok bool) {
	var end logpos.Position
	best := -1
	for i, a := range c.Statuses {
		switch {
		case a.Member.ID == c.OldPrimary:
			if a.Err == nil && a.Status.Primary {
				end = a.Status.Received
			}
		case a.Err != nil:
		case best < 0 || c.preferred(a, c.Statuses[best]):
			best = i
		}
	}
	if best < 0 {
		return MemberStatus{}, false, false
	}
	p := c.Statuses[best]
	if p.Member.Draining && c.SyncReplicas == 0 {
		return MemberStatus{}, false, false
	}
	return p, !p.Status.Received.Less(end), true
}

// preferred reports whether to promote a rather than b. If commits wait for
// replicas, the log position is compared before the draining state.
func (c SelectionInput) preferred(a, b MemberStatus) bool {
	p, q := a.Status.Received, b.Status.Received
	if c.SyncReplicas == 0 && a.Member.Draining != b.Member.Draining {
		return b.Member.Draining
	}
	if p != q {
		return q.Less(p)
	}
	if a.Member.Draining != b.Member.Draining {
		return b.Member.Draining
	}
	return c.Nearer(a.Member, b.Member)
}

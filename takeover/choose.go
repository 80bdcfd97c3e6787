package takeover

import (
	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/logpos"
)

// SelectionInput is what the choice of a new primary depends on.
type SelectionInput struct {
	Statuses []MemberStatus
	// OldPrimary is the primary to replace.
	OldPrimary string
	// SyncReplicas is the number of replicas that hold a commit before it is acknowledged.
	SyncReplicas int
	// Planned tells that the old primary still answers, so that a replica may be
	// given time to catch up; Late that this time is over.
	Planned        bool
	CatchUpExpired bool
	// Nearer reports whether a stands nearer to the host than b.
	Nearer func(a, b catalog.Member) bool
}

// Readiness tells whether a member may be promoted.
type Readiness uint8

// The kinds of readiness.
const (
	NoCandidate Readiness = iota
	CandidateCatchingUp
	CandidateReady
)

// SelectCandidate returns the member to promote: one that leads already, or the replica
// with the most of the log.
func (g *Group) SelectCandidate(c SelectionInput) (MemberStatus, Readiness) {
	for _, a := range c.Statuses {
		if a.Err == nil && a.Member.ID != c.OldPrimary && g.AlreadyPrimary(a) {
			return a, CandidateReady
		}
	}
	p, whole, ok := pick(c)
	switch {
	case !ok:
		return MemberStatus{}, NoCandidate
	case c.Planned && !whole && !c.CatchUpExpired:
		return p, CandidateCatchingUp
	default:
		return p, CandidateReady
	}
}

// AlreadyPrimary reports whether a member leads already: by a promotion that was asked for
// earlier, or since the primary has come back under another ID with its log.
func (g *Group) AlreadyPrimary(a MemberStatus) bool {
	s := a.Status
	same := s.Term == g.term && a.Member.ID != g.primary && !s.Received.Less(g.end) && !g.unusable
	return s.Primary && (s.Term > g.term || same)
}

// pick returns the replica with the most of the log, one that stays first, and
// whether it holds all that the primary reported. Where commits are acknowledged
// once replicas hold them, it returns one only if enough have answered for one of
// them to hold every such commit, and prefers that one even if it leaves.
func pick(c SelectionInput) (a MemberStatus, whole, ok bool) {
	var end, most logpos.Position
	best, missing := -1, 0
	for i, a := range c.Statuses {
		switch {
		case a.Member.ID == c.OldPrimary:
			if a.Err == nil && a.Status.Primary {
				end = a.Status.Received
			}
			continue
		case a.Err != nil:
			missing++
			continue
		}
		most = logpos.Max(most, a.Status.Received)
		if best < 0 || c.better(a, c.Statuses[best]) {
			best = i
		}
	}
	if best < 0 || c.SyncReplicas > 0 && missing >= c.SyncReplicas {
		return MemberStatus{}, false, false
	}
	p := c.Statuses[best]
	r := p.Status.Received
	if p.Member.Draining && c.SyncReplicas == 0 || c.SyncReplicas > 0 && r.Less(most) {
		return MemberStatus{}, false, false
	}
	return p, !r.Less(end), true
}

// better reports whether a is to be promoted rather than b. Where commits wait for
// replicas, the log goes before whether a member leaves.
func (c SelectionInput) better(a, b MemberStatus) bool {
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

package succession

import (
	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/logpos"
)

// Choice is what the choice of a new primary depends on.
type Choice struct {
	Answers []Answer
	// Old is the primary to replace.
	Old string
	// Sync is the number of replicas that hold a commit before it is acknowledged.
	Sync int
	// Planned tells that the old primary still answers, so that a replica may be
	// given time to catch up; Late that this time is over.
	Planned bool
	Late    bool
	// Nearer reports whether a stands nearer to the host than b.
	Nearer func(a, b catalog.Member) bool
}

// CandidateState tells whether a member may be promoted.
type CandidateState uint8

// The kinds of readiness.
const (
	NoneFits CandidateState = iota
	CatchingUp
	Ready
)

// Choose returns the member to promote: one that leads already, or the replica
// with the most of the log.
func (g *Group) Choose(c Choice) (Answer, CandidateState) {
	for _, a := range c.Answers {
		if a.Err == nil && a.Member.ID != c.Old && g.Leads(a) {
			return a, Ready
		}
	}
	p, whole, ok := selectReplica(c)
	switch {
	case !ok:
		return Answer{}, NoneFits
	case c.Planned && !whole && !c.Late:
		return p, CatchingUp
	default:
		return p, Ready
	}
}

// Leads reports whether a member leads already: by a promotion that was asked for
// earlier, or since the primary has come back under another ID with its log.
func (g *Group) Leads(a Answer) bool {
	s := a.Status
	same := s.Term == g.term && a.Member.ID != g.primary && !s.Received.Less(g.logEnd) && !g.unusable
	return s.Primary && (s.Term > g.term || same)
}

// selectReplica returns the replica with the most of the log, one that stays first, and
// whether it holds all that the primary reported. Where commits are acknowledged
// once replicas hold them, it returns one only if enough have answered for one of
// them to hold every such commit, and prefers that one even if it leaves.
func selectReplica(c Choice) (a Answer, whole, ok bool) {
	var end, most logpos.Position
	best, missing := -1, 0
	for i, a := range c.Answers {
		switch {
		case a.Member.ID == c.Old:
			if a.Err == nil && a.Status.Primary {
				end = a.Status.Received
			}
			continue
		case a.Err != nil:
			missing++
			continue
		}
		most = logpos.Max(most, a.Status.Received)
		if best < 0 || c.preferred(a, c.Answers[best]) {
			best = i
		}
	}
	if best < 0 || c.Sync > 0 && missing >= c.Sync {
		return Answer{}, false, false
	}
	p := c.Answers[best]
	r := p.Status.Received
	if p.Member.Draining && c.Sync == 0 || c.Sync > 0 && r.Less(most) {
		return Answer{}, false, false
	}
	return p, !r.Less(end), true
}

// preferred reports whether a is to be promoted rather than b. Where commits wait for
// replicas, the log goes before whether a member leaves.
func (c Choice) preferred(a, b Answer) bool {
	p, q := a.Status.Received, b.Status.Received
	if c.Sync == 0 && a.Member.Draining != b.Member.Draining {
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

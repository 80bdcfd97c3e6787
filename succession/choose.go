package succession

import (
	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/logpos"
)

// Choice is the input from which the member to promote is selected.
type Choice struct {
	// Answers holds the status of each polled member.
	Answers []Answer
	// Old is the ID of the primary to replace.
	Old string
	// Sync is the number of replicas that must have a commit before it is
	// acknowledged.
	Sync int
	// Planned is set if the old primary still answers, so that a replica may be
	// given time to catch up.
	Planned bool
	// Late is set once the time to catch up is over.
	Late bool
	// Nearer reports whether a is nearer to the host than b.
	Nearer func(a, b catalog.Member) bool
}

// CandidateState is the result of a selection.
type CandidateState uint8

// The results of a selection.
const (
	// NoneFits means that no member may be promoted now.
	NoneFits CandidateState = iota
	// CatchingUp means that the selected replica lacks entries of the old
	// primary's log and has time left to receive them.
	CatchingUp
	// Ready means that the selected member may be promoted.
	Ready
)

// Choose returns the member to promote: one that is already primary, or else the
// replica with the furthest log position.
func (g *Group) Choose(c Choice) (Answer, CandidateState) {
	for _, a := range c.Answers {
		if a.Err == nil && a.Member.ID != c.Old && g.Leads(a) {
			return a, Ready
		}
	}
	p, caughtUp, ok := selectReplica(c)
	switch {
	case !ok:
		return Answer{}, NoneFits
	case c.Planned && !caughtUp && !c.Late:
		return p, CatchingUp
	default:
		return p, Ready
	}
}

// Leads reports whether a member is already primary: after an earlier promotion
// request, or because the primary has come back under another ID with its log.
func (g *Group) Leads(a Answer) bool {
	s := a.Status
	same := s.Term == g.term && a.Member.ID != g.primary && !s.Received.Less(g.logEnd) && !g.unusable
	return s.Primary && (s.Term > g.term || same)
}

// selectReplica returns the replica with the furthest log position, and whether
// that has reached the position that the old primary reported. If commits are
// acknowledged without waiting for replicas, a draining replica is not selected.
// Otherwise a replica is selected only if enough have answered that one of them
// must have every acknowledged commit; the furthest is then selected even if it
// is draining.
func selectReplica(c Choice) (a Answer, caughtUp, ok bool) {
	var end, furthest logpos.Position
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
		furthest = logpos.Max(furthest, a.Status.Received)
		if best < 0 || c.preferred(a, c.Answers[best]) {
			best = i
		}
	}
	if best < 0 || c.Sync > 0 && missing >= c.Sync {
		return Answer{}, false, false
	}
	p := c.Answers[best]
	r := p.Status.Received
	if p.Member.Draining && c.Sync == 0 || c.Sync > 0 && r.Less(furthest) {
		return Answer{}, false, false
	}
	return p, !r.Less(end), true
}

// preferred reports whether to promote a rather than b. If commits wait for
// replicas, the log position is compared before the draining state.
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

package failover

import "time"

// ConfirmedSince reports whether a majority of the members has reported the
// given term in answer to requests sent at or after the given time, and no
// member has reported a later term. Then no primary of a later term can have
// acknowledged a write before that time: it would have fenced a majority first.
// The answer to a fence or promote request counts from the start of its step.
func (g *Group) ConfirmedSince(term uint64, since time.Time) bool {
	if g.highestTerm > term {
		return false
	}
	n := 0
	for _, m := range g.members {
		if m.reported && m.status.Term == term && !m.requestedAt.Before(since) {
			n++
		}
	}
	return n >= g.majority()
}

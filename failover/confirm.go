package failover

import "time"

// ConfirmedSince reports whether a majority of the members has reported the
// term t in answer to requests that left at or after the given time, and no
// member is known to hold a later term. Then no other primary had acknowledged
// a write before that time: it would have fenced a majority first.
func (g *Group) ConfirmedSince(t uint64, since time.Time) bool {
	if g.highestTerm > t {
		return false
	}
	n := 0
	for _, m := range g.members {
		if m.reported && m.status.Term == t && !m.sent.Before(since) {
			n++
		}
	}
	return n >= g.majority()
}

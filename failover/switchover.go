package failover

import "time"

// The stages of a switchover.
const (
	// DrainTime is how long requests on a leaving primary may still run; those
	// that begin later wait for the new primary.
	DrainTime = 3 * time.Second
	// CatchUpTime is how long after that a successor may take to get the
	// primary's position.
	CatchUpTime = time.Second
	// switchPause is the pause after a switchover that was given up.
	switchPause = 5 * time.Second
)

// ReplacingPrimary reports whether the primary is being replaced by this daemon, so
// that no request may begin on it here.
func (g *Group) ReplacingPrimary() bool { return g.phase != steady }

// release begins the switchover of a leaving primary. Only the first of the
// daemons that watch the group does: it owns the primary, and so holds back
// the requests.
func (g *Group) release(now time.Time) []Action {
	p := g.top()
	if g.place != 0 || now.Before(g.rest) || p == nil || !p.Leaving || g.successor(p) == nil {
		return nil
	}
	g.phase, g.began, g.drained = draining, now, time.Time{}
	return []Action{Suspected{Term: p.status.Term + 1, Reason: Leaving}}
}

// successor returns the member that follows the primary and is furthest, or
// nil. Among equals the nearest goes first.
func (g *Group) successor(p *member) *member {
	var b *member
	for _, n := range g.names() {
		m := g.members[n]
		if m.Leaving || !m.known || !m.failing.IsZero() || m.status.Role != Replica || m.status.Term != p.status.Term {
			continue
		}
		switch {
		case b == nil, b.status.Position.Less(m.status.Position),
			b.status.Position == m.status.Position && m.Preference > b.Preference:
			b = m
		}
	}
	return b
}

// drain goes on with a switchover: requests end, the successor gets the
// primary's position, and then a round is begun as in a failover. The round
// waits for the successor's fence and then promotes the member with the latest
// position, so that a request that began through another daemon isn't lost.
func (g *Group) drain(x Ticked, now time.Time) []Action {
	p := g.top()
	if why, _ := g.cause(now); why != "" || p == nil || !p.Leaving || g.place != 0 {
		g.phase = steady
		return nil
	}
	if g.drained.IsZero() && (x.InFlight == 0 || now.Sub(g.began) >= DrainTime) {
		g.drained = now
	}
	if g.drained.IsZero() {
		return nil
	}
	s := g.successor(p)
	if s != nil && p.sent.After(g.drained) && !s.status.Position.Less(p.status.Position) {
		o := g.begin(Leaving, g.began, now)
		g.heir = s.Name
		return o
	}
	if now.Sub(g.drained) >= CatchUpTime {
		g.phase, g.rest = steady, now.Add(switchPause)
	}
	return nil
}

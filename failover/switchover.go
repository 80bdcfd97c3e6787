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
	// switchoverBackoff is the pause after a switchover that was given up.
	switchoverBackoff = 5 * time.Second
)

// Changing reports whether the primary is being replaced by this daemon, so
// that no request may begin on it here.
func (g *Group) Changing() bool { return g.phase != steady }

// startSwitchover begins the switchover of a leaving primary. Only the first of the
// daemons that watch the group does: it owns the primary, and so holds back
// the requests.
func (g *Group) startSwitchover(now time.Time) []Action {
	p := g.currentPrimary()
	if g.watcherIndex != 0 || now.Before(g.backoffUntil) || p == nil || !p.Leaving || g.successor(p) == nil {
		return nil
	}
	g.phase, g.startedAt, g.drainedAt = draining, now, time.Time{}
	return []Action{Started{Term: p.status.Term + 1, Reason: PrimaryLeaving}}
}

// successor returns the member that follows the primary and is furthest, or
// nil. Among equals the nearest goes first.
func (g *Group) successor(p *member) *member {
	var b *member
	for _, n := range g.memberNames() {
		m := g.members[n]
		if m.Leaving || !m.reported || !m.failingSince.IsZero() || m.status.Role != Replica || m.status.Term != p.status.Term {
			continue
		}
		switch {
		case b == nil, b.status.Position.Less(m.status.Position),
			b.status.Position == m.status.Position && m.Near > b.Near:
			b = m
		}
	}
	return b
}

// continueSwitchover goes on with a switchover: requests end, the successor gets the
// primary's position, and then a round is begun as in a failover. The round
// waits for the successor's fence and then promotes the member with the latest
// position, so that a request that began through another daemon isn't lost.
func (g *Group) continueSwitchover(x Ticked, now time.Time) []Action {
	p := g.currentPrimary()
	if why, _ := g.replacementReason(now); why != "" || p == nil || !p.Leaving || g.watcherIndex != 0 {
		g.phase = steady
		return nil
	}
	if g.drainedAt.IsZero() && (x.InFlight == 0 || now.Sub(g.startedAt) >= DrainTime) {
		g.drainedAt = now
	}
	if g.drainedAt.IsZero() {
		return nil
	}
	s := g.successor(p)
	if s != nil && p.sent.After(g.drainedAt) && !s.status.Position.Less(p.status.Position) {
		o := g.startRound(PrimaryLeaving, g.startedAt, now)
		g.switchoverTarget = s.Name
		return o
	}
	if now.Sub(g.drainedAt) >= CatchUpTime {
		g.phase, g.backoffUntil = steady, now.Add(switchoverBackoff)
	}
	return nil
}

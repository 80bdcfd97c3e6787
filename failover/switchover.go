package failover

import "time"

// Timing of a switchover.
const (
	// DrainTime is how long running requests on a leaving primary may take to
	// end. Requests that arrive during this time wait for the new primary.
	DrainTime = 3 * time.Second
	// CatchUpTime is how long the target, the replica to promote, may then take to
	// reach the primary's position.
	CatchUpTime = time.Second
	// switchoverBackoff is the delay before another switchover after an abandoned one.
	switchoverBackoff = 5 * time.Second
)

// ReplacingPrimary reports whether this daemon is replacing the primary. Until it has
// finished, no new request may start on the primary through this daemon.
func (g *Group) ReplacingPrimary() bool { return g.phase != steady }

// startSwitchover starts the switchover from a leaving primary. Only the first
// of the daemons that watch the group does: it owns the primary, so it is the
// one that can hold back requests.
func (g *Group) startSwitchover(now time.Time) []Action {
	p := g.currentPrimary()
	if g.watcherIndex != 0 || now.Before(g.backoffUntil) || p == nil || !p.Draining || g.selectSwitchoverTarget(p) == nil {
		return nil
	}
	g.phase, g.startedAt, g.drainedAt = draining, now, time.Time{}
	return []Action{ReplacementStarted{Term: p.status.Term + 1, Reason: PrimaryLeaving}}
}

// selectSwitchoverTarget returns the reachable member with the furthest position among
// those that replicate in the primary's term and aren't leaving, or nil. Among equal
// positions it prefers the highest Preference.
func (g *Group) selectSwitchoverTarget(p *member) *member {
	var b *member
	for _, n := range g.memberNames() {
		m := g.members[n]
		if m.Draining || !m.reported || !m.failingSince.IsZero() || m.status.Role != Replica || m.status.Term != p.status.Term {
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

// continueSwitchover advances a switchover: it waits until the requests have
// ended and the target has reached the primary's position, then starts a round as
// in a failover. The round waits until the target is fenced and then promotes the
// member with the furthest position, so that a write that was sent through another
// daemon isn't lost.
func (g *Group) continueSwitchover(x Ticked, now time.Time) []Action {
	p := g.currentPrimary()
	if why, _ := g.replacementReason(now); why != "" || p == nil || !p.Draining || g.watcherIndex != 0 {
		g.phase = steady
		return nil
	}
	if g.drainedAt.IsZero() && (x.InFlight == 0 || now.Sub(g.startedAt) >= DrainTime) {
		g.drainedAt = now
	}
	if g.drainedAt.IsZero() {
		return nil
	}
	s := g.selectSwitchoverTarget(p)
	if s != nil && p.statusAt.After(g.drainedAt) && !s.status.Position.Less(p.status.Position) {
		o := g.startRound(PrimaryLeaving, g.startedAt, now)
		g.switchoverTarget = s.Name
		return o
	}
	if now.Sub(g.drainedAt) >= CatchUpTime {
		g.phase, g.backoffUntil = steady, now.Add(switchoverBackoff)
	}
	return nil
}

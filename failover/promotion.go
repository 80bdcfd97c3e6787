package failover

import (
	"time"
)

func (g *Group) handleFenceResult(x FenceResult, now time.Time) []Action {
	if x.Status.Role != "" {
		g.recordStatus(x.Member, x.Status, now, g.requestTime(x.Term, g.startedAt))
	}
	if g.phase != fencing || x.Term != g.roundTerm {
		return nil
	}
	if !x.OK {
		return g.handleFenceRefusal(x, now)
	}
	g.fenced[x.Member] = x.Status
	if _, ok := g.fenced[g.switchoverTarget]; len(g.fenced) < g.majority() || g.switchoverTarget != "" && !ok {
		return nil
	}
	g.phase, g.fencedAt = promoting, now
	g.candidate = g.selectCandidate()
	return []Action{Promote{Member: g.candidate, Term: g.roundTerm}}
}

// handleFenceRefusal abandons a round that can't succeed any more: a member has
// a higher term, the switchover target has refused, or too few members are left
// that could still accept the round's term.
func (g *Group) handleFenceRefusal(x FenceResult, now time.Time) []Action {
	g.refused[x.Member] = true
	if g.highestTerm > g.roundTerm || x.Member == g.switchoverTarget || len(g.members)-len(g.refused) < g.majority() {
		g.abandonRound(now)
	}
	return nil
}

// selectCandidate returns the fenced member with the furthest position: it has
// every write that reached a majority. Among equal positions it prefers a member
// that isn't draining, then the highest Preference.
func (g *Group) selectCandidate() string {
	var b string
	for _, n := range g.memberNames() {
		s, ok := g.fenced[n]
		if !ok {
			continue
		}
		if b == "" || g.betterCandidate(n, s, b, g.fenced[b]) {
			b = n
		}
	}
	return b
}

// betterCandidate reports whether a member is a better candidate than the best
// one so far.
func (g *Group) betterCandidate(name string, status Status, best string, bestStatus Status) bool {
	if status.Position != bestStatus.Position {
		return bestStatus.Position.Less(status.Position)
	}
	x, y := g.members[name], g.members[best]
	if x == nil || y == nil {
		return y == nil
	}
	if x.Draining != y.Draining {
		return y.Draining
	}
	return x.Preference > y.Preference
}

func (g *Group) handlePromoteResult(x PromoteResult, now time.Time) []Action {
	if x.OK {
		g.recordStatus(x.Member, x.Status, now, g.requestTime(x.Term, g.fencedAt))
	}
	if g.phase != promoting || x.Term != g.roundTerm || x.Member != g.candidate {
		return g.reconcile(now)
	}
	if !x.OK {
		g.handlePromoteFailure(x, now)
		return nil
	}
	g.phase = steady
	g.announcedTerm = g.roundTerm
	o := []Action{PrimaryChanged{Term: g.roundTerm, Primary: x.Member, Stages: Stages{
		Confirm: g.startedAt.Sub(g.reasonSince), Fence: g.fencedAt.Sub(g.startedAt), Promote: now.Sub(g.fencedAt),
	}}}
	return append(o, g.reconcile(now)...)
}

// handlePromoteFailure abandons the round after a promotion that failed or
// whose outcome is unknown. The promotion may still have taken effect, so no
// other member may become primary in this term: the next round uses the next
// term. That round starts at once, because the reason to replace the primary is
// already confirmed.
func (g *Group) handlePromoteFailure(x PromoteResult, now time.Time) {
	g.abandonRound(now)
	if m := g.members[x.Member]; m != nil && m.failingSince.IsZero() {
		m.failingSince = now
	}
	if g.highestTerm <= g.roundTerm {
		g.backoffUntil, g.noPrimarySince = now, g.reasonSince
	}
}

// Package failover decides which member of a database group is primary, when
// it is replaced, and by whom. It does no I/O and reads no clock.
package failover

import (
	"sort"
	"time"
)

// The stages of a failover, within the target of 5 s.
const (
	// ConfirmTime is how long a primary must fail before it is replaced.
	ConfirmTime = 300 * time.Millisecond
	// Stagger is added for each daemon that comes before this one.
	Stagger = 600 * time.Millisecond
	// RoundTimeout bounds one round of fencing or promotion.
	RoundTimeout = 1500 * time.Millisecond
	// ContactTimeout is how long replicas may miss their primary's replication
	// stream before it counts as cut from its peers.
	ContactTimeout = 1500 * time.Millisecond
	// MaxReportAge is how long a report counts as heard lately.
	MaxReportAge = 1200 * time.Millisecond
	// retryBackoff is the least pause after a failed round.
	retryBackoff = 400 * time.Millisecond
)

// phase is what the group is doing.
type phase int

const (
	steady phase = iota
	// draining lets running requests on a leaving primary end, and its
	// successor catch up.
	draining
	fencing
	promoting
)

// member is what is known of a member.
type member struct {
	Member
	reported bool
	status   Status
	// sent is when the request for status left.
	sent time.Time
	// failingSince is since when fresh connections fail; zero if they don't.
	failingSince time.Time
	// followRequestedAt is when the member was last told to follow.
	followRequestedAt time.Time
}

// Group is the state of one database group as one daemon sees it. It is not
// safe for concurrent use.
type Group struct {
	members      map[string]*member
	watcherIndex int
	phase        phase
	// roundTerm is the term of the round in progress.
	roundTerm uint64
	// startedAt is when the round began, and since when its cause stood.
	startedAt   time.Time
	reasonSince time.Time
	// fencedStatus holds the members fenced in the round, refused those that refused.
	fenced  map[string]Status
	refused map[string]bool
	// fencedAt is when they made a majority.
	fencedAt  time.Time
	candidate string
	// backoffUntil is when the next round may begin.
	backoffUntil time.Time
	// noPrimarySince is since when the group has shown no primary; zero if it has.
	noPrimarySince time.Time
	// announcedTerm is the term of the last Changed.
	announcedTerm uint64
	// highestTerm is the highest term that a member is known to hold.
	highestTerm uint64
	// switchoverTarget is the successor that a switchover waits for; empty in a failover.
	switchoverTarget string
	// drainedAt is when the last request on a leaving primary had ended; zero
	// while some run.
	drainedAt time.Time
	// jitter is that of the last Ticked.
	jitter float64
	// samples are positions of the primary, oldest first.
	samples []sample
}

// New returns a group without members.
func New() *Group { return &Group{members: map[string]*member{}} }

// Handle takes in an event and returns what is to be done.
func (g *Group) Handle(e Event, now time.Time) []Action {
	switch x := e.(type) {
	case Configured:
		g.configure(x)
	case Reported:
		g.report(x.Member, x.Status, x.Sent, x.Sent)
	case Failed:
		if m := g.members[x.Member]; m != nil && m.failingSince.IsZero() {
			m.failingSince = now
		}
	case Fenced:
		return g.handleFenceResult(x, now)
	case Promoted:
		return g.handlePromoteResult(x, now)
	case Ticked:
		return g.tick(x, now)
	}
	return g.reconcile(now)
}

func (g *Group) configure(x Configured) {
	old := g.members
	g.members = make(map[string]*member, len(x.Members))
	for _, m := range x.Members {
		n := old[m.Name]
		if n == nil {
			n = &member{}
		}
		n.Member = m
		g.members[m.Name] = n
	}
	g.watcherIndex = x.Place
}

// report takes in a member's report: sent orders reports, asked is when the
// request for it left.
func (g *Group) report(name string, s Status, sent, asked time.Time) {
	m := g.members[name]
	if m == nil {
		return
	}
	g.highestTerm = max(g.highestTerm, s.Term)
	if m.reported && sent.Before(m.sent) {
		return
	}
	m.reported, m.status, m.sent, m.failingSince = true, s, sent, time.Time{}
	if m == g.currentPrimary() && g.confirmedByMajority(m, asked) {
		g.addSample(s.Position, asked)
	}
}

func (g *Group) majority() int { return len(g.members)/2 + 1 }

// currentPrimary returns the primary of the highest term that any member reports, or nil.
func (g *Group) currentPrimary() *member {
	var p *member
	for _, m := range g.members {
		if m.reported && m.status.Role == Primary && (p == nil || m.status.Term > p.status.Term) {
			p = m
		}
	}
	return p
}

// reconcile announces a new primary and lets other members follow it.
func (g *Group) reconcile(now time.Time) []Action {
	p := g.currentPrimary()
	if p == nil || p.status.Term < g.highestTerm {
		return nil
	}
	var o []Action
	if p.status.Term > g.announcedTerm {
		g.announcedTerm = p.status.Term
		o = append(o, Changed{Term: p.status.Term, Primary: p.Name})
	}
	if g.phase != steady {
		return o
	}
	return append(o, g.followActions(p, now)...)
}

// followActions returns Follow actions for reachable members that don't follow p.
func (g *Group) followActions(p *member, now time.Time) []Action {
	var o []Action
	for _, n := range g.memberNames() {
		m := g.members[n]
		if m == p || !m.reported || !m.failingSince.IsZero() || m.status.Term > p.status.Term {
			continue
		}
		if m.status.Role == Replica && m.status.Primary == p.Address && m.status.Term == p.status.Term {
			continue
		}
		if now.Sub(m.followRequestedAt) < retryBackoff {
			continue
		}
		m.followRequestedAt = now
		o = append(o, Follow{Member: n, Term: p.status.Term, Primary: p.Address})
	}
	return o
}

func (g *Group) memberNames() []string {
	o := make([]string, 0, len(g.members))
	for n := range g.members {
		o = append(o, n)
	}
	sort.Strings(o)
	return o
}

func (g *Group) tick(x Ticked, now time.Time) []Action {
	g.jitter = x.Jitter
	switch g.phase {
	case draining:
		return g.continueSwitchover(x, now)
	case fencing, promoting:
		if now.Sub(g.startedAt) < RoundTimeout {
			return nil
		}
		g.abandonRound(now)
	}
	o := g.reconcile(now)
	why, since := g.replacementReason(now)
	if why == "" {
		return append(o, g.startSwitchover(now)...)
	}
	if now.Before(g.backoffUntil) || now.Sub(since) < ConfirmTime+time.Duration(g.watcherIndex)*Stagger {
		return o
	}
	if g.reachableCount(now) < g.majority() {
		return o
	}
	return append(o, g.startRound(why, since, now)...)
}

// replacementReason returns why the primary should be replaced, and since when.
func (g *Group) replacementReason(now time.Time) (Reason, time.Time) {
	p := g.currentPrimary()
	if p == nil || p.status.Term < g.highestTerm {
		if g.noPrimarySince.IsZero() {
			g.noPrimarySince = now
		}
		return NoPrimary, g.noPrimarySince
	}
	g.noPrimarySince = time.Time{}
	if !p.failingSince.IsZero() {
		return PrimaryUnreachable, p.failingSince
	}
	if t, ok := g.replicationLost(p, now); ok {
		return ReplicationLost, t
	}
	return "", time.Time{}
}

// replicationLost reports whether a majority has lost the primary's replication stream
// while this daemon can still reach them: then no write can be acknowledged.
func (g *Group) replicationLost(p *member, now time.Time) (time.Time, bool) {
	n := 0
	var since time.Time
	for _, m := range g.members {
		if m == p || !m.reported || m.status.Term != p.status.Term || m.status.Primary != p.Address {
			continue
		}
		if now.Sub(m.sent) > MaxReportAge || m.status.Contact < ContactTimeout {
			continue
		}
		n++
		t := m.sent.Add(ContactTimeout - m.status.Contact)
		if since.IsZero() || t.After(since) {
			since = t
		}
	}
	return since, n >= g.majority()
}

// reachableCount counts members that have been heard lately.
func (g *Group) reachableCount(now time.Time) int {
	n := 0
	for _, m := range g.members {
		if m.reported && m.failingSince.IsZero() && now.Sub(m.sent) < MaxReportAge {
			n++
		}
	}
	return n
}

// startRound starts a round: it fences every member at a new term.
func (g *Group) startRound(why Reason, since, now time.Time) []Action {
	g.phase, g.roundTerm = fencing, max(g.highestTerm, g.roundTerm)+1
	g.startedAt, g.reasonSince = now, since
	g.fenced, g.refused = map[string]Status{}, map[string]bool{}
	g.candidate, g.switchoverTarget = "", ""
	o := []Action{Started{Term: g.roundTerm, Reason: why}}
	for _, n := range g.memberNames() {
		o = append(o, Fence{Member: n, Term: g.roundTerm})
	}
	return o
}

// abandonRound ends a round without a new primary. The pause before the next one
// lets a daemon that won the race finish.
func (g *Group) abandonRound(now time.Time) {
	g.phase = steady
	g.backoffUntil = now.Add(retryBackoff + time.Duration(g.jitter*float64(retryBackoff)) + time.Duration(g.watcherIndex)*Stagger)
}

func (g *Group) handleFenceResult(x Fenced, now time.Time) []Action {
	if x.Status.Role != "" {
		g.report(x.Member, x.Status, now, g.startedAt)
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
	g.candidate = g.chooseCandidate()
	return []Action{Promote{Member: g.candidate, Term: g.roundTerm}}
}

// handleFenceRefusal ends a round that can't be won any more: a member has a higher
// term, or too few are left that could still accept this one.
func (g *Group) handleFenceRefusal(x Fenced, now time.Time) []Action {
	g.refused[x.Member] = true
	if g.highestTerm > g.roundTerm || x.Member == g.switchoverTarget || len(g.members)-len(g.refused) < g.majority() {
		g.abandonRound(now)
	}
	return nil
}

// chooseCandidate returns the fenced member with the latest position: it has every
// write that was on a majority. Among equals one that stays goes first, then
// the nearest.
func (g *Group) chooseCandidate() string {
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

func (g *Group) betterCandidate(n string, s Status, b string, t Status) bool {
	if s.Position != t.Position {
		return t.Position.Less(s.Position)
	}
	x, y := g.members[n], g.members[b]
	if x == nil || y == nil {
		return y == nil
	}
	if x.Leaving != y.Leaving {
		return y.Leaving
	}
	return x.Near > y.Near
}

func (g *Group) handlePromoteResult(x Promoted, now time.Time) []Action {
	if x.OK {
		g.report(x.Member, x.Status, now, g.fencedAt)
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
	o := []Action{Changed{Term: g.roundTerm, Primary: x.Member, Stages: Stages{
		Confirm: g.startedAt.Sub(g.reasonSince), Fence: g.fencedAt.Sub(g.startedAt), Promote: now.Sub(g.fencedAt),
	}}}
	return append(o, g.reconcile(now)...)
}

// handlePromoteFailure handles a promotion that gave no success. It may have taken
// effect all the same, so no other member may become primary of this term: the
// next round takes the next term, and at once, since the cause was confirmed.
func (g *Group) handlePromoteFailure(x Promoted, now time.Time) {
	g.abandonRound(now)
	if m := g.members[x.Member]; m != nil && m.failingSince.IsZero() {
		m.failingSince = now
	}
	if g.highestTerm <= g.roundTerm {
		g.backoffUntil, g.noPrimarySince = now, g.reasonSince
	}
}

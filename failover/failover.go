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
	// FreshTime is how long a report counts as heard lately.
	FreshTime = 1200 * time.Millisecond
	// retryPause is the least pause after a failed round.
	retryPause = 400 * time.Millisecond
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
	known  bool
	status Status
	// sent is when the request for status left.
	sent time.Time
	// failing is since when fresh connections fail; zero if they don't.
	failing time.Time
	// asked is when the member was last told to follow.
	asked time.Time
}

// Group is the state of one database group as one daemon sees it. It is not
// safe for concurrent use.
type Group struct {
	members map[string]*member
	place   int
	phase   phase
	// term is the term of the round in progress.
	term uint64
	// began is when the round began, and since when its cause stood.
	began time.Time
	since time.Time
	// fenced holds the members fenced in the round, refused those that refused.
	fenced  map[string]Status
	refused map[string]bool
	// fencedAt is when they made a majority.
	fencedAt time.Time
	chosen   string
	// rest is when the next round may begin.
	rest time.Time
	// orphaned is since when the group has shown no primary; zero if it has.
	orphaned time.Time
	// announced is the term of the last Changed.
	announced uint64
	// highest is the highest term that a member is known to hold.
	highest uint64
	// heir is the successor that a switchover waits for; empty in a failover.
	heir string
	// drained is when the last request on a leaving primary had ended; zero
	// while some run.
	drained time.Time
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
	case PollFailed:
		if m := g.members[x.Member]; m != nil && m.failing.IsZero() {
			m.failing = now
		}
	case FenceResult:
		return g.onFenced(x, now)
	case PromoteResult:
		return g.onPromoted(x, now)
	case Ticked:
		return g.tick(x, now)
	}
	return g.settle(now)
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
	g.place = x.WatcherIndex
}

// report takes in a member's report: sent orders reports, asked is when the
// request for it left.
func (g *Group) report(name string, s Status, sent, asked time.Time) {
	m := g.members[name]
	if m == nil {
		return
	}
	g.highest = max(g.highest, s.Term)
	if m.known && sent.Before(m.sent) {
		return
	}
	m.known, m.status, m.sent, m.failing = true, s, sent, time.Time{}
	if m == g.top() && g.confirmed(m, asked) {
		g.sample(s.Position, asked)
	}
}

func (g *Group) majority() int { return len(g.members)/2 + 1 }

// top returns the primary of the highest term that any member reports, or nil.
func (g *Group) top() *member {
	var p *member
	for _, m := range g.members {
		if m.known && m.status.Role == Primary && (p == nil || m.status.Term > p.status.Term) {
			p = m
		}
	}
	return p
}

// settle announces a new primary and lets other members follow it.
func (g *Group) settle(now time.Time) []Action {
	p := g.top()
	if p == nil || p.status.Term < g.highest {
		return nil
	}
	var o []Action
	if p.status.Term > g.announced {
		g.announced = p.status.Term
		o = append(o, PrimaryChanged{Term: p.status.Term, Primary: p.Name})
	}
	if g.phase != steady {
		return o
	}
	return append(o, g.followers(p, now)...)
}

// followers returns Follow actions for reachable members that don't follow p.
func (g *Group) followers(p *member, now time.Time) []Action {
	var o []Action
	for _, n := range g.names() {
		m := g.members[n]
		if m == p || !m.known || !m.failing.IsZero() || m.status.Term > p.status.Term {
			continue
		}
		if m.status.Role == Replica && m.status.Primary == p.Address && m.status.Term == p.status.Term {
			continue
		}
		if now.Sub(m.asked) < retryPause {
			continue
		}
		m.asked = now
		o = append(o, Follow{Member: n, Term: p.status.Term, Primary: p.Address})
	}
	return o
}

func (g *Group) names() []string {
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
		return g.drain(x, now)
	case fencing, promoting:
		if now.Sub(g.began) < RoundTimeout {
			return nil
		}
		g.abandon(now)
	}
	o := g.settle(now)
	why, since := g.cause(now)
	if why == "" {
		return append(o, g.release(now)...)
	}
	if now.Before(g.rest) || now.Sub(since) < ConfirmTime+time.Duration(g.place)*Stagger {
		return o
	}
	if g.reachable(now) < g.majority() {
		return o
	}
	return append(o, g.begin(why, since, now)...)
}

// cause returns why the primary should be replaced, and since when.
func (g *Group) cause(now time.Time) (Reason, time.Time) {
	p := g.top()
	if p == nil || p.status.Term < g.highest {
		if g.orphaned.IsZero() {
			g.orphaned = now
		}
		return NoPrimary, g.orphaned
	}
	g.orphaned = time.Time{}
	if !p.failing.IsZero() {
		return Unreachable, p.failing
	}
	if t, ok := g.cut(p, now); ok {
		return Cut, t
	}
	return "", time.Time{}
}

// cut reports whether a majority has lost the primary's replication stream
// while this daemon can still reach them: then no write can be acknowledged.
func (g *Group) cut(p *member, now time.Time) (time.Time, bool) {
	n := 0
	var since time.Time
	for _, m := range g.members {
		if m == p || !m.known || m.status.Term != p.status.Term || m.status.Primary != p.Address {
			continue
		}
		if now.Sub(m.sent) > FreshTime || m.status.ContactAge < ContactTimeout {
			continue
		}
		n++
		t := m.sent.Add(ContactTimeout - m.status.ContactAge)
		if since.IsZero() || t.After(since) {
			since = t
		}
	}
	return since, n >= g.majority()
}

// reachable counts members that have been heard lately.
func (g *Group) reachable(now time.Time) int {
	n := 0
	for _, m := range g.members {
		if m.known && m.failing.IsZero() && now.Sub(m.sent) < FreshTime {
			n++
		}
	}
	return n
}

// begin starts a round: it fences every member at a new term.
func (g *Group) begin(why Reason, since, now time.Time) []Action {
	g.phase, g.term = fencing, max(g.highest, g.term)+1
	g.began, g.since = now, since
	g.fenced, g.refused = map[string]Status{}, map[string]bool{}
	g.chosen, g.heir = "", ""
	o := []Action{Suspected{Term: g.term, Reason: why}}
	for _, n := range g.names() {
		o = append(o, Fence{Member: n, Term: g.term})
	}
	return o
}

// abandon ends a round without a new primary. The pause before the next one
// lets a daemon that won the race finish.
func (g *Group) abandon(now time.Time) {
	g.phase = steady
	g.rest = now.Add(retryPause + time.Duration(g.jitter*float64(retryPause)) + time.Duration(g.place)*Stagger)
}

func (g *Group) onFenced(x FenceResult, now time.Time) []Action {
	if x.Status.Role != "" {
		g.report(x.Member, x.Status, now, g.began)
	}
	if g.phase != fencing || x.Term != g.term {
		return nil
	}
	if !x.OK {
		return g.onRefused(x, now)
	}
	g.fenced[x.Member] = x.Status
	if _, ok := g.fenced[g.heir]; len(g.fenced) < g.majority() || g.heir != "" && !ok {
		return nil
	}
	g.phase, g.fencedAt = promoting, now
	g.chosen = g.choose()
	return []Action{Promote{Member: g.chosen, Term: g.term}}
}

// onRefused ends a round that can't be won any more: a member has a higher
// term, or too few are left that could still accept this one.
func (g *Group) onRefused(x FenceResult, now time.Time) []Action {
	g.refused[x.Member] = true
	if g.highest > g.term || x.Member == g.heir || len(g.members)-len(g.refused) < g.majority() {
		g.abandon(now)
	}
	return nil
}

// choose returns the fenced member with the latest position: it has every
// write that was on a majority. Among equals one that stays goes first, then
// the nearest.
func (g *Group) choose() string {
	var b string
	for _, n := range g.names() {
		s, ok := g.fenced[n]
		if !ok {
			continue
		}
		if b == "" || g.better(n, s, b, g.fenced[b]) {
			b = n
		}
	}
	return b
}

func (g *Group) better(n string, s Status, b string, t Status) bool {
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
	return x.Preference > y.Preference
}

func (g *Group) onPromoted(x PromoteResult, now time.Time) []Action {
	if x.OK {
		g.report(x.Member, x.Status, now, g.fencedAt)
	}
	if g.phase != promoting || x.Term != g.term || x.Member != g.chosen {
		return g.settle(now)
	}
	if !x.OK {
		g.onUnpromoted(x, now)
		return nil
	}
	g.phase = steady
	g.announced = g.term
	o := []Action{PrimaryChanged{Term: g.term, Primary: x.Member, Stages: Stages{
		Confirm: g.began.Sub(g.since), Fence: g.fencedAt.Sub(g.began), Promote: now.Sub(g.fencedAt),
	}}}
	return append(o, g.settle(now)...)
}

// onUnpromoted handles a promotion that gave no success. It may have taken
// effect all the same, so no other member may become primary of this term: the
// next round takes the next term, and at once, since the cause was confirmed.
func (g *Group) onUnpromoted(x PromoteResult, now time.Time) {
	g.abandon(now)
	if m := g.members[x.Member]; m != nil && m.failing.IsZero() {
		m.failing = now
	}
	if g.highest <= g.term {
		g.rest, g.orphaned = now, g.since
	}
}

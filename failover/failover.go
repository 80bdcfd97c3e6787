// Package failover decides which member of a database group is primary, when
// it is replaced, and by whom. It does no I/O and reads no clock.
package failover

import (
	"sort"
	"time"

	"github.com/dragonflypick/dragonflypick/logpos"
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

// Role is what a member reports to be.
type Role string

// The roles of a member.
const (
	Primary Role = "primary"
	Replica Role = "replica"
)

// Status is what a member reports of itself.
type Status struct {
	Role Role `json:"role"`
	// Term is the highest term that the member has accepted.
	Term uint64 `json:"term"`
	// Position is the last entry of the member's log.
	Position logpos.Position `json:"position"`
	// Primary is the address that a replica follows; empty if none.
	Primary string `json:"primary,omitempty"`
	// Contact is how long ago a replica last heard from its primary.
	Contact time.Duration `json:"contact"`
}

// Member is a member of the group.
type Member struct {
	Name    string
	Address string
	// Leaving members aren't promoted if another will do.
	Leaving bool
	// Near is the member's worth as a primary among equals; higher is better.
	Near int
}

// Event is something that the group learns.
type Event interface{ event() }

// Reported is a member's report.
type Reported struct {
	Member string
	Status Status
	// Sent is when the request left; Status held at some time after it.
	Sent time.Time
}

// Failed tells that a member didn't answer on a fresh connection.
type Failed struct{ Member string }

// Fenced is the answer to a Fence action.
type Fenced struct {
	Member string
	Term   uint64
	// OK tells that the member accepted; Status is then its report.
	OK     bool
	Status Status
}

// Promoted is the answer to a Promote action.
type Promoted struct {
	Member string
	Term   uint64
	OK     bool
	Status Status
}

// Configured replaces the members and this daemon's place among those that
// watch the group; 0 is first to act.
type Configured struct {
	Members []Member
	Place   int
}

// Ticked lets time pass. Jitter is a random number from 0 to 1.
type Ticked struct{ Jitter float64 }

func (Reported) event()   {}
func (Failed) event()     {}
func (Fenced) event()     {}
func (Promoted) event()   {}
func (Configured) event() {}
func (Ticked) event()     {}

// Action is something that the group wants done.
type Action interface{ action() }

// Fence asks a member to refuse all terms below Term.
type Fence struct {
	Member string
	Term   uint64
}

// Promote asks a member that this daemon has fenced to become primary.
type Promote struct {
	Member string
	Term   uint64
}

// Follow asks a member to replicate from a primary.
type Follow struct {
	Member string
	Term   uint64
	// Primary is the primary's address.
	Primary string
}

// Changed tells that the group has another primary.
type Changed struct {
	Term    uint64
	Primary string
	// Stages are how long this daemon took; zero if another daemon acted.
	Stages Stages
}

// Suspected tells why a failover begins.
type Suspected struct {
	Term   uint64
	Reason Reason
}

func (Fence) action()     {}
func (Promote) action()   {}
func (Follow) action()    {}
func (Changed) action()   {}
func (Suspected) action() {}

// Reason tells why a primary is replaced.
type Reason string

// The reasons of a failover.
const (
	Unreachable Reason = "primary-unreachable"
	Cut         Reason = "primary-cut-from-replicas"
	NoPrimary   Reason = "no-primary"
)

// Stages are the durations of the parts of a failover.
type Stages struct {
	// Confirm is from the first failure to the decision.
	Confirm time.Duration
	// Fence is from the decision to a fenced majority.
	Fence time.Duration
	// Promote is from there to the new primary's report.
	Promote time.Duration
}

// phase is what the group is doing.
type phase int

const (
	steady phase = iota
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
	// fenced holds the members fenced in the round.
	fenced map[string]Status
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
		g.report(x.Member, x.Status, x.Sent)
	case Failed:
		if m := g.members[x.Member]; m != nil && m.failing.IsZero() {
			m.failing = now
		}
	case Fenced:
		return g.onFenced(x, now)
	case Promoted:
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
	g.place = x.Place
}

func (g *Group) report(name string, s Status, sent time.Time) {
	m := g.members[name]
	if m == nil {
		return
	}
	g.highest = max(g.highest, s.Term)
	if m.known && sent.Before(m.sent) {
		return
	}
	m.known, m.status, m.sent, m.failing = true, s, sent, time.Time{}
	if m == g.top() && g.confirmed(m, sent) {
		g.sample(s.Position, sent)
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
		o = append(o, Changed{Term: p.status.Term, Primary: p.Name})
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
	if g.phase != steady {
		if now.Sub(g.began) < RoundTimeout {
			return nil
		}
		g.abandon(x.Jitter, now)
	}
	o := g.settle(now)
	why, since := g.cause(now)
	if why == "" || now.Before(g.rest) {
		return o
	}
	if now.Sub(since) < ConfirmTime+time.Duration(g.place)*Stagger {
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
		if now.Sub(m.sent) > FreshTime || m.status.Contact < ContactTimeout {
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
	g.phase, g.term = fencing, g.highest+1
	g.began, g.since = now, since
	g.fenced, g.chosen = map[string]Status{}, ""
	o := []Action{Suspected{Term: g.term, Reason: why}}
	for _, n := range g.names() {
		o = append(o, Fence{Member: n, Term: g.term})
	}
	return o
}

func (g *Group) abandon(jitter float64, now time.Time) {
	g.phase = steady
	g.rest = now.Add(retryPause + time.Duration(jitter*float64(retryPause)) + time.Duration(g.place)*Stagger)
}

func (g *Group) onFenced(x Fenced, now time.Time) []Action {
	if x.OK {
		g.report(x.Member, x.Status, now)
	}
	if g.phase != fencing || x.Term != g.term {
		return nil
	}
	if !x.OK {
		return nil
	}
	g.fenced[x.Member] = x.Status
	if len(g.fenced) < g.majority() {
		return nil
	}
	g.phase, g.fencedAt = promoting, now
	g.chosen = g.choose()
	return []Action{Promote{Member: g.chosen, Term: g.term}}
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
	return x.Near > y.Near
}

func (g *Group) onPromoted(x Promoted, now time.Time) []Action {
	if x.OK {
		g.report(x.Member, x.Status, now)
	}
	if g.phase != promoting || x.Term != g.term || x.Member != g.chosen {
		return g.settle(now)
	}
	if !x.OK {
		g.abandon(0, now)
		return nil
	}
	g.phase = steady
	g.announced = g.term
	o := []Action{Changed{Term: g.term, Primary: x.Member, Stages: Stages{
		Confirm: g.began.Sub(g.since), Fence: g.fencedAt.Sub(g.began), Promote: now.Sub(g.fencedAt),
	}}}
	return append(o, g.settle(now)...)
}

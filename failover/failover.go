// Package failover decides when the primary of a database group is replaced,
// which member replaces it, and which daemon carries this out. It does no I/O
// and reads no clock: package monitor passes in events with the time and performs
// the actions that it returns.
//
// A daemon replaces a primary in a round: it fences the members at a new term
// and, once a majority has accepted that, promotes the member with the furthest
// position. The daemons thus need no store to agree; package takeover, in
// contrast, uses a lease in the platform's store.
package failover

import (
	"sort"
	"time"
)

// Timing of a failover, which should take at most 5 s.
const (
	// ConfirmTime is how long a primary must be failing before it is replaced.
	ConfirmTime = 300 * time.Millisecond
	// WatcherStagger is the additional delay before a round for each daemon
	// that precedes this one among the group's watchers, so that they don't
	// start rounds at the same time.
	WatcherStagger = 600 * time.Millisecond
	// RoundTimeout bounds one round, from the first fence to the promotion.
	RoundTimeout = 1500 * time.Millisecond
	// ContactTimeout is how long replicas may receive nothing from their primary
	// before the primary counts as disconnected from them.
	ContactTimeout = 1500 * time.Millisecond
	// MaxReportAge is the age up to which a member's report counts as recent.
	MaxReportAge = 1200 * time.Millisecond
	// retryDelay is the minimum delay after a failed round, and between two
	// Follow requests to one member.
	retryDelay = 400 * time.Millisecond
)

// phase is the state of a replacement of the primary.
type phase int

const (
	// steady is the phase while this daemon isn't replacing the primary.
	steady phase = iota
	// draining waits for the running requests on a draining primary to end, and
	// for the target of the switchover to catch up.
	draining
	// fencing waits until a majority has accepted the new term.
	fencing
	// promoting waits for the result of the candidate's promotion.
	promoting
)

// member holds a member's configuration and its latest report.
type member struct {
	Member
	// reported is set once a report has been received; status is the latest.
	reported bool
	status   Status
	// statusAt is when status was requested, or when it was received if it came
	// with the answer to a fence or promote request.
	statusAt time.Time
	// requestedAt is when status was requested, or earlier.
	requestedAt time.Time
	// failingSince is since when polls on new connections have failed; zero if
	// they don't.
	failingSince time.Time
	// followRequestedAt is when the last Follow action was returned.
	followRequestedAt time.Time
}

// Group is the state of a database group as one daemon observes it, and of the
// replacement of its primary by this daemon. It is not safe for concurrent use.
type Group struct {
	members map[string]*member
	// watcherIndex is as in Configured.
	watcherIndex int
	phase        phase
	// roundTerm is the term of the round in progress.
	roundTerm uint64
	// startedAt is when the round or the switchover started.
	startedAt time.Time
	// reasonSince is since when the reason for the round has existed.
	reasonSince time.Time
	// fenced holds the reports of the members that accepted the round's fence.
	fenced map[string]Status
	// refused holds the members that refused the round's fence or didn't answer.
	refused map[string]bool
	// fencedAt is when enough members were fenced to promote the candidate.
	fencedAt time.Time
	// candidate is the member to promote in the round.
	candidate string
	// backoffUntil is the earliest start of the next round or switchover.
	backoffUntil time.Time
	// noPrimarySince is since when no member has reported itself primary in the
	// highest term; zero if one does.
	noPrimarySince time.Time
	// announcedTerm is the term of the last PrimaryChanged action.
	announcedTerm uint64
	// highestTerm is the highest term that any member has reported.
	highestTerm uint64
	// switchoverTarget is the member that must be fenced before a switchover
	// promotes; empty in a failover.
	switchoverTarget string
	// drainedAt is when no request ran on the draining primary any more, or when
	// DrainTime had passed; zero before that.
	drainedAt time.Time
	// jitter is the random number of the last Ticked event.
	jitter float64
	// samples are past positions of the primary, oldest first.
	samples []sample
}

// New returns a group without members.
func New() *Group { return &Group{members: map[string]*member{}} }

// Handle processes an event and returns the actions to perform.
func (g *Group) Handle(e Event, now time.Time) []Action {
	switch x := e.(type) {
	case Configured:
		g.configure(x)
	case StatusReported:
		g.recordStatus(x.Member, x.Status, x.RequestedAt, x.RequestedAt)
	case PollFailed:
		if m := g.members[x.Member]; m != nil && m.failingSince.IsZero() {
			m.failingSince = now
		}
	case FenceResult:
		return g.handleFenceResult(x, now)
	case PromoteResult:
		return g.handlePromoteResult(x, now)
	case Ticked:
		return g.handleTick(x, now)
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
	g.watcherIndex = x.WatcherIndex
}

// recordStatus records a member's report. Of two reports, the newer is the one
// with the later time at, as in member.statusAt; requestedAt is when the report
// was requested, or earlier.
func (g *Group) recordStatus(name string, s Status, at, requestedAt time.Time) {
	m := g.members[name]
	if m == nil {
		return
	}
	g.highestTerm = max(g.highestTerm, s.Term)
	if m.reported && at.Before(m.statusAt) {
		return
	}
	m.reported, m.status, m.statusAt, m.requestedAt, m.failingSince = true, s, at, requestedAt, time.Time{}
	if m == g.currentPrimary() && g.confirmedByMajority(m, requestedAt) {
		g.addSample(s.Position, requestedAt)
	}
}

func (g *Group) majority() int { return len(g.members)/2 + 1 }

// currentPrimary returns the primary with the highest term among the members
// that report themselves primary, or nil if none does.
func (g *Group) currentPrimary() *member {
	var p *member
	for _, m := range g.members {
		if m.reported && m.status.Role == Primary && (p == nil || m.status.Term > p.status.Term) {
			p = m
		}
	}
	return p
}

// reconcile returns the actions that announce a new primary and make the other
// members follow it.
func (g *Group) reconcile(now time.Time) []Action {
	p := g.currentPrimary()
	if p == nil || p.status.Term < g.highestTerm {
		return nil
	}
	var o []Action
	if p.status.Term > g.announcedTerm {
		g.announcedTerm = p.status.Term
		o = append(o, PrimaryChanged{Term: p.status.Term, Primary: p.Name})
	}
	if g.phase != steady {
		return o
	}
	return append(o, g.followActions(p, now)...)
}

// followActions returns Follow actions for the reachable members that don't
// replicate from p.
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
		if now.Sub(m.followRequestedAt) < retryDelay {
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

func (g *Group) handleTick(x Ticked, now time.Time) []Action {
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
	if now.Before(g.backoffUntil) || now.Sub(since) < ConfirmTime+time.Duration(g.watcherIndex)*WatcherStagger {
		return o
	}
	if g.reachableCount(now) < g.majority() {
		return o
	}
	return append(o, g.startRound(why, since, now)...)
}

// replacementReason returns why the primary should be replaced and since when
// the reason has existed; the reason is empty if the primary shouldn't be
// replaced.
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

// replicationLost reports whether a majority of the members, all of which
// report to this daemon, have lost the primary's replication stream, and since
// when. Then no write can be acknowledged.
func (g *Group) replicationLost(p *member, now time.Time) (time.Time, bool) {
	n := 0
	var since time.Time
	for _, m := range g.members {
		if m == p || !m.reported || m.status.Term != p.status.Term || m.status.Primary != p.Address {
			continue
		}
		if now.Sub(m.statusAt) > MaxReportAge || m.status.ContactAge < ContactTimeout {
			continue
		}
		n++
		t := m.statusAt.Add(ContactTimeout - m.status.ContactAge)
		if since.IsZero() || t.After(since) {
			since = t
		}
	}
	return since, n >= g.majority()
}

// reachableCount returns the number of members that have reported recently.
func (g *Group) reachableCount(now time.Time) int {
	n := 0
	for _, m := range g.members {
		if m.reported && m.failingSince.IsZero() && now.Sub(m.statusAt) < MaxReportAge {
			n++
		}
	}
	return n
}

// startRound starts a round: it returns actions that fence every member at a
// new term.
func (g *Group) startRound(why Reason, since, now time.Time) []Action {
	g.phase, g.roundTerm = fencing, max(g.highestTerm, g.roundTerm)+1
	g.startedAt, g.reasonSince = now, since
	g.fenced, g.refused = map[string]Status{}, map[string]bool{}
	g.candidate, g.switchoverTarget = "", ""
	o := []Action{ReplacementStarted{Term: g.roundTerm, Reason: why}}
	for _, n := range g.memberNames() {
		o = append(o, Fence{Member: n, Term: g.roundTerm})
	}
	return o
}

// abandonRound ends a round without a new primary. During the backoff before
// the next round, another daemon that has started one can finish it.
func (g *Group) abandonRound(now time.Time) {
	g.phase = steady
	g.backoffUntil = now.Add(retryDelay + time.Duration(g.jitter*float64(retryDelay)) + time.Duration(g.watcherIndex)*WatcherStagger)
}

// requestTime returns a time before which a fence or promote request of the given
// term wasn't sent: t in the current round, and none that is known in an earlier one.
func (g *Group) requestTime(term uint64, t time.Time) time.Time {
	if term != g.roundTerm {
		return time.Time{}
	}
	return t
}

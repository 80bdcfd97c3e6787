package failover

import (
	"time"

	"github.com/dragonflypick/dragonflypick/logpos"
)

// View is what a daemon has observed of a group, used for routing.
type View struct {
	// Term is the term of the primary; zero if no primary is known.
	Term uint64 `json:"term"`
	// Primary is the name of the primary member; empty if none is known.
	Primary string `json:"primary"`
	// Confirmed is set if a majority has recently reported this term. Then no
	// primary of a later term had acknowledged writes before these reports were
	// requested.
	Confirmed bool `json:"confirmed"`
	// Members are the members, sorted by name.
	Members []MemberView `json:"members"`
}

// MemberView is what a daemon has observed of one member.
type MemberView struct {
	Name     string          `json:"name"`
	Role     Role            `json:"role"`
	Term     uint64          `json:"term"`
	Position logpos.Position `json:"position"`
	// Reachable is set if the member has reported recently.
	Reachable bool `json:"reachable"`
}

// View returns the current view of the group.
func (g *Group) View(now time.Time) View {
	var v View
	if p := g.currentPrimary(); p != nil && p.status.Term >= g.highestTerm {
		v.Term, v.Primary = p.status.Term, p.Name
		v.Confirmed = g.confirmedByMajority(p, now)
	}
	for _, n := range g.memberNames() {
		m := g.members[n]
		v.Members = append(v.Members, MemberView{
			Name: n, Role: m.status.Role, Term: m.status.Term, Position: m.status.Position,
			Reachable: m.reported && m.failingSince.IsZero() && now.Sub(m.statusAt) < MaxReportAge,
		})
	}
	return v
}

// confirmedByMajority reports whether a majority has recently reported p's term.
func (g *Group) confirmedByMajority(p *member, now time.Time) bool {
	n := 0
	for _, m := range g.members {
		if m.reported && m.status.Term == p.status.Term && now.Sub(m.statusAt) < MaxReportAge && m.failingSince.IsZero() {
			n++
		}
	}
	return n >= g.majority()
}

// Durable reports whether a majority of the group's members has reported p or a
// later position while in p's term. A write is acknowledged only then. No further
// write of a replaced primary can become durable, because a majority was fenced at
// a later term before the new primary was promoted.
func (g *Group) Durable(p logpos.Position) bool {
	n := 0
	for _, m := range g.members {
		if m.reported && m.status.Term == p.Term && m.status.Position.Term == p.Term && !m.status.Position.Less(p) {
			n++
		}
	}
	return n >= g.majority()
}

// TermSuperseded reports whether any member has reported a later term.
func (g *Group) TermSuperseded(term uint64) bool { return g.highestTerm > term }

// OlderThan reports whether p is of a later term than the view, so that the view is
// out of date.
func (v *View) OlderThan(p logpos.Position) bool { return p.Term > v.Term }

// ReplicaRead is a read that a replica may serve.
type ReplicaRead struct {
	Member string
	// Floor is the furthest position that the session has observed.
	Floor logpos.Position
	// Tolerance is the accepted age of the data; zero accepts none.
	Tolerance time.Duration
	// AgeOnly is set if the floor doesn't apply to this read.
	AgeOnly bool
	// OwnWrites is set if the floor applies in addition to Tolerance.
	OwnWrites bool
	// MaxAge bounds the age of the data for a read that has no tolerance of its
	// own.
	MaxAge time.Duration
}

// MayServe reports whether a member may serve a read as a replica: because it has
// reached the floor and its data are no older than MaxAge, or because they are no
// older than Tolerance. A member that is in a later term than its last log entry may
// not, as it may hold entries that it still has to discard.
func (g *Group) MayServe(r ReplicaRead, now time.Time) bool {
	m := g.members[r.Member]
	if m == nil || !m.reported || m.status.Role != Replica {
		return false
	}
	if p := m.status.Position; !p.IsZero() && p.Term < m.status.Term {
		return false
	}
	a, ok := g.DataAge(r.Member, now)
	if !ok {
		return false
	}
	reached := !m.status.Position.Less(r.Floor)
	switch {
	case r.AgeOnly:
		return r.Tolerance > 0 && a <= r.Tolerance
	case r.OwnWrites:
		return reached && a <= max(r.Tolerance, r.MaxAge)
	default:
		return r.Tolerance > 0 && a <= r.Tolerance || reached && a <= r.MaxAge
	}
}

// LaterTermCommitted reports whether the current primary has a later term than the
// given one and a majority has a log entry of that later term, and returns the
// primary's name. From then on every later primary has the entries that this one had
// when its term began.
func (g *Group) LaterTermCommitted(term uint64) (string, bool) {
	p := g.currentPrimary()
	if p == nil || p.status.Term <= term || p.status.Term < g.highestTerm {
		return "", false
	}
	n := 0
	for _, m := range g.members {
		if m.reported && m.status.Term == p.status.Term && m.status.Position.Term == p.status.Term {
			n++
		}
	}
	return p.Name, n >= g.majority()
}

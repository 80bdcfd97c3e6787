package failover

import (
	"time"

	"github.com/dragonflypick/dragonflypick/logpos"
)

// View is what a daemon knows of a group, for routing.
type View struct {
	// Term is the term of the primary; zero if none is known.
	Term uint64 `json:"term"`
	// Primary is the name of the primary member; empty if none is known.
	Primary string `json:"primary"`
	// Confirmed tells that a majority was heard lately in this term, so that no
	// other primary can have acknowledged writes before then.
	Confirmed bool `json:"confirmed"`
	// Members are the members by name.
	Members []MemberView `json:"members"`
}

// MemberView is what is known of one member.
type MemberView struct {
	Name     string          `json:"name"`
	Role     Role            `json:"role"`
	Term     uint64          `json:"term"`
	Position logpos.Position `json:"position"`
	// Reachable tells that the member was heard lately.
	Reachable bool `json:"reachable"`
}

// View returns what is known now.
func (g *Group) View(now time.Time) View {
	var v View
	if p := g.top(); p != nil && p.status.Term >= g.highest {
		v.Term, v.Primary = p.status.Term, p.Name
		v.Confirmed = g.confirmed(p, now)
	}
	for _, n := range g.names() {
		m := g.members[n]
		v.Members = append(v.Members, MemberView{
			Name: n, Role: m.status.Role, Term: m.status.Term, Position: m.status.Position,
			Reachable: m.known && m.failing.IsZero() && now.Sub(m.sent) < FreshTime,
		})
	}
	return v
}

// confirmed reports whether a majority has lately reported p's term.
func (g *Group) confirmed(p *member, now time.Time) bool {
	n := 0
	for _, m := range g.members {
		if m.known && m.status.Term == p.status.Term && now.Sub(m.sent) < FreshTime && m.failing.IsZero() {
			n++
		}
	}
	return n >= g.majority()
}

// Durable reports whether a majority of the group's members has reported the
// position p within p's term. A write is acknowledged only then: a primary that
// was replaced can't reach it, since its successor has fenced a majority.
func (g *Group) Durable(p logpos.Position) bool {
	n := 0
	for _, m := range g.members {
		if m.known && m.status.Term == p.Term && m.status.Position.Term == p.Term && !m.status.Position.Less(p) {
			n++
		}
	}
	return n >= g.majority()
}

// Superseded reports whether a member is known to hold a term above t.
func (g *Group) Superseded(t uint64) bool { return g.highest > t }

// OlderThan reports whether p is of a later term than the view's.
func (v *View) OlderThan(p logpos.Position) bool { return p.Term > v.Term }

// Read is a read that a replica may serve.
type Read struct {
	Member string
	// Floor is the position that the session has seen.
	Floor logpos.Position
	// Tolerance is the accepted age; zero accepts none.
	Tolerance time.Duration
	// AgeOnly tells that the floor doesn't hold for this read.
	AgeOnly bool
	// OwnWrites tells that the floor holds besides Tolerance.
	OwnWrites bool
	// MaxAge bounds the age of a read that names no tolerance.
	MaxAge time.Duration
}

// Serves reports whether a member may serve a read as a replica: by its
// position and MaxAge, or by the tolerated age. A member that follows a new
// term without an entry of it may have entries that it has yet to discard.
func (g *Group) Serves(r Read, now time.Time) bool {
	m := g.members[r.Member]
	if m == nil || !m.known || m.status.Role != Replica {
		return false
	}
	if p := m.status.Position; !p.IsZero() && p.Term < m.status.Term {
		return false
	}
	a, ok := g.Age(r.Member, now)
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

// LaterTermCommitted reports whether a term after t has begun and a majority holds an
// entry of it. From then on every later primary has the log of the new term's
// primary, whose name it returns.
func (g *Group) LaterTermCommitted(t uint64) (string, bool) {
	p := g.top()
	if p == nil || p.status.Term <= t || p.status.Term < g.highest {
		return "", false
	}
	n := 0
	for _, m := range g.members {
		if m.known && m.status.Term == p.status.Term && m.status.Position.Term == p.status.Term {
			n++
		}
	}
	return p.Name, n >= g.majority()
}

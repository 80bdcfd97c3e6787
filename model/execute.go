package model

import (
	"github.com/dragonflypick/dragonflypick/failover"
	"github.com/dragonflypick/dragonflypick/logpos"
)

// result is a member's answer to a statement.
type result struct {
	// ok tells that the statement has run; otherwise it has no effect.
	ok bool
	// position is the commit's position, or a later one.
	position logpos.Position
	// term is the member's term.
	term uint64
	// found is what a read or a look-up gave.
	found bool
	// echo is the request that the answer belongs to.
	echo string
}

// execute runs a write in a transaction of its own.
func (m *Member) execute(s Statement, reply func(any)) {
	if m.role != failover.Primary {
		reply(result{echo: s.ID})
		return
	}
	e := m.epoch
	m.after(statementCost, func() {
		r := result{echo: s.ID, ok: m.epoch == e && !m.ended[s.ID], term: m.term}
		switch {
		case !r.ok:
		case s.Key != "" && !m.w.Options.NoKeyLookup && m.log.CountKey(s.Key) > 0:
			r.position = m.log.Last()
		default:
			r.position = m.append(Entry{Statement: s})
			m.w.reach(Committed, s)
		}
		reply(r)
	})
}

// look ends the session of an attempt, so that it can't commit any more, and
// looks for its key.
func (m *Member) look(s Statement) result {
	if !m.w.Options.KeepSessionOnResolve {
		m.ended[s.ID] = true
	}
	return result{
		ok: m.role == failover.Primary, echo: s.ID, found: m.log.CountKey(s.Key) > 0,
		position: m.log.Last(), term: m.term,
	}
}

// read looks for a statement.
func (m *Member) read(id string, want Statement, reply func(any)) {
	m.after(statementCost, func() {
		reply(result{ok: true, echo: id, found: m.log.Shows(want), term: m.term})
	})
}

// holds tells whether the log of the primary of term t holds p.
func (m *Member) holds(p logpos.Position, t uint64) result {
	return result{ok: m.role == failover.Primary && m.term == t, found: m.log.Has(p), term: m.term}
}

package model

import (
	"github.com/dragonflypick/dragonflypick/failover"
	"github.com/dragonflypick/dragonflypick/logpos"
)

// result is a member's answer to a statement.
type result struct {
	// ok means that the statement has run; otherwise it has no effect.
	ok bool
	// position is the position of the commit, or a later one.
	position logpos.Position
	// term is the member's term.
	term uint64
	// found is the result of a read or of a key look-up.
	found bool
	// requestID is the ID of the request that is answered.
	requestID string
}

// execute runs a write in a transaction of its own.
func (m *Member) execute(s Statement, reply func(any)) {
	if m.role != failover.Primary {
		reply(result{requestID: s.ID})
		return
	}
	e := m.epoch
	m.after(statementCost, func() {
		r := result{requestID: s.ID, ok: m.epoch == e && !m.endedSessions[s.ID], term: m.term}
		switch {
		case !r.ok:
		case s.Key != "" && !m.w.Options.NoKeyLookup && m.log.CountKey(s.Key) > 0:
			r.position = m.log.Last()
		default:
			r.position = m.append(LogEntry{Statement: s})
			m.w.notifyWriteStep(Committed, s)
		}
		reply(r)
	})
}

// lookUpKey looks up the key of a write. It first ends the session of the
// write, so that the write can't commit any more.
func (m *Member) lookUpKey(s Statement) result {
	if !m.w.Options.KeepSessionOnResolve {
		m.endedSessions[s.ID] = true
	}
	return result{
		ok: m.role == failover.Primary, requestID: s.ID, found: m.log.CountKey(s.Key) > 0,
		position: m.log.Last(), term: m.term,
	}
}

// read reports whether the expected statement has run.
func (m *Member) read(id string, expected Statement, reply func(any)) {
	m.after(statementCost, func() {
		reply(result{ok: true, requestID: id, found: m.log.HasRun(expected), term: m.term})
	})
}

// holdsPosition reports whether the member is the primary of term t and its log
// has p.
func (m *Member) holdsPosition(p logpos.Position, t uint64) result {
	return result{ok: m.role == failover.Primary && m.term == t, found: m.log.Has(p), term: m.term}
}

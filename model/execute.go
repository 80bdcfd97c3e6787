package model

import (
	"github.com/dragonflypick/dragonflypick/failover"
	"github.com/dragonflypick/dragonflypick/logpos"
)

// memberAnswer is a member's answer to a statement or a lookup.
type memberAnswer struct {
	// ok means that the request was carried out; otherwise a statement has no
	// effect and a lookup no result.
	ok bool
	// position is the position of the commit, or a later one.
	position logpos.Position
	// term is the member's term.
	term uint64
	// found is the result of a read or of a key lookup.
	found bool
	// requestID is the ID of the request that is answered.
	requestID string
}

// executeWrite runs a write in a transaction of its own. A write whose key is
// in the log isn't run again.
func (m *Member) executeWrite(s Statement, reply func(any)) {
	m.checkDrain()
	if m.role != failover.Primary {
		reply(memberAnswer{requestID: s.ID})
		return
	}
	e := m.epoch
	m.after(statementCost, func() {
		r := memberAnswer{requestID: s.ID, ok: m.epoch == e && !m.endedSessions[s.ID], term: m.term}
		switch {
		case !r.ok:
		case s.Key != "" && !m.world.Options.NoKeyLookup && m.log.CountKey(s.Key) > 0:
			r.position = m.log.Last()
		default:
			r.position = m.appendEntry(LogEntry{Statement: s})
			m.world.notifyWriteStep(Committed, s)
		}
		reply(r)
	})
}

// endSessionAndLookUpKey ends the session of a write, so that the write can't
// commit any more, and looks up its key in the log.
func (m *Member) endSessionAndLookUpKey(s Statement) memberAnswer {
	if !m.world.Options.KeepSessionOnResolve {
		m.endedSessions[s.ID] = true
	}
	return memberAnswer{
		ok: m.role == failover.Primary, requestID: s.ID, found: m.log.CountKey(s.Key) > 0,
		position: m.log.Last(), term: m.term,
	}
}

// executeRead runs a read; its result is whether the expected statement has
// run.
func (m *Member) executeRead(id string, expected Statement, reply func(any)) {
	m.checkDrain()
	m.after(statementCost, func() {
		reply(memberAnswer{ok: true, requestID: id, found: m.log.HasRun(expected), term: m.term})
	})
}

// lookUpPosition reports whether the member is the primary of term t and its
// log has p.
func (m *Member) lookUpPosition(p logpos.Position, t uint64) memberAnswer {
	return memberAnswer{ok: m.role == failover.Primary && m.term == t, found: m.log.Has(p), term: m.term}
}

package model

import (
	"time"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/query"
)

// pullInterval is how often a replica asks its primary for the log.
const pullInterval = 40 * time.Millisecond

// PlatformMember is a member of the group. A replaced primary goes on as one until
// it is told.
type PlatformMember struct {
	*Node
	h       *PlatformWorld
	primary bool
	term    uint64
	// following is the primary that a replica asks for the log.
	following *PlatformMember
	log       Log
	// Lag delays replication to this member.
	Lag time.Duration
	// Draining tells that the member is to be given back.
	Draining bool
}

func (h *PlatformWorld) newMember(name string, p Place) {
	m := &PlatformMember{Node: h.node(name, p), h: h, term: 1}
	if len(h.Members) > 0 {
		m.following = h.Members[0]
	}
	h.Members = append(h.Members, m)
	m.pull()
}

// Log returns the member's log.
func (m *PlatformMember) Log() Log { return m.log }

// Restart starts a killed member; without its log if it is born again empty.
func (m *PlatformMember) Restart(empty bool) {
	if m.alive {
		return
	}
	m.start()
	if empty {
		m.log = nil
	}
	m.pull()
}

// spec returns the member as its entry describes it.
func (m *PlatformMember) spec() catalog.Member {
	return catalog.Member{ID: m.Name, Group: "g", Address: m.Name, FailureDomain: m.Location.Domain, Region: m.Location.Region, Slots: slots, Draining: m.Draining}
}

// position returns the end of the log as the member tells it.
func (m *PlatformMember) position() logpos.Position {
	p := m.log.Last()
	if m.primary || p.IsZero() {
		p.Term = m.term
	}
	return p
}

func (m *PlatformMember) status() query.Status {
	return query.Status{Primary: m.primary, Term: m.term, Received: m.position()}
}

func (m *PlatformMember) append(id string) logpos.Position {
	e := Entry{Position: logpos.Position{Term: m.term, Offset: uint64(len(m.log)) + 1}, Statement: Statement{ID: id}}
	m.log = append(m.log[:len(m.log):len(m.log)], e)
	return e.Position
}

// pull asks the primary for its log, again and again.
func (m *PlatformMember) pull() {
	p := m.following
	if m.primary || p == nil {
		m.after(pullInterval, m.pull)
		return
	}
	m.h.do(&call{
		from: m.Node, to: p.Node, use: "replication", timeout: replicationTimeout,
		handle: func(reply func(any)) { reply(p.log) },
		done: func(v any, ok bool) {
			if l, is := v.(Log); ok && is {
				m.after(m.Lag, func() { m.apply(l, p) })
			}
			m.after(pullInterval, m.pull)
		},
	})
}

// apply takes over the log of a primary, if it is still followed.
func (m *PlatformMember) apply(l Log, p *PlatformMember) {
	if m.primary || m.following != p || l.Last().Less(m.log.Last()) {
		return
	}
	m.log = l
	m.term = max(m.term, p.term)
}

// demote makes a primary of a lower term a replica.
func (m *PlatformMember) demote(term uint64) {
	if p := m.h.Primary(); m.primary && m.term < term && p != m {
		m.primary, m.following = false, p
	}
}

// ran is a member's answer to a statement.
type ran struct {
	ok       bool
	position logpos.Position
	log      Log
	term     uint64
}

// write runs a write.
func (m *PlatformMember) write(x *hostedWrite) ran {
	if !m.primary {
		return ran{position: m.position()}
	}
	p := m.append(x.id)
	x.runs++
	x.position, x.at = p, m.h.now
	return ran{ok: true, position: p, term: m.term}
}

// read runs a read that needs the log up to a position.
func (m *PlatformMember) read(after logpos.Position, primary bool) ran {
	if primary && !m.primary || !primary && m.log.Last().Less(after) {
		return ran{position: m.position()}
	}
	return ran{ok: true, position: m.position(), log: m.log}
}

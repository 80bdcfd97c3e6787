package model

import (
	"time"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/query"
)

// pullInterval is the delay between a replica's requests for the log of its
// source.
const pullInterval = 40 * time.Millisecond

// PlatformMember is a member of the group of a PlatformWorld. A replaced
// primary continues as a primary until it is demoted.
type PlatformMember struct {
	*Node
	world   *PlatformWorld
	primary bool
	term    uint64
	// source is the member that this one replicates from.
	source *PlatformMember
	log    Log
	// Lag delays the replication to this member.
	Lag time.Duration
	// draining means that the member is to be returned to the platform, since drainingAt.
	draining   bool
	drainingAt time.Time
}

// platformDrainTime is how long a draining member may get new work.
const platformDrainTime = 7 * time.Second

func (w *PlatformWorld) newMember(name string, p Location) {
	m := &PlatformMember{Node: w.newNode(name, p), world: w, term: 1}
	if len(w.Members) > 0 {
		m.source = w.Members[0]
	}
	w.Members = append(w.Members, m)
	m.pullLog()
}

// SetDraining sets whether the member is to be returned to the platform.
func (m *PlatformMember) SetDraining(draining bool) {
	if draining && !m.draining {
		m.drainingAt = m.world.now
	}
	m.draining = draining
}

// maxTransit is longer than any message is on its way; what a member handles later was held up
// by it.
const maxTransit = 900 * time.Millisecond

// checkDrain checks that the member may get new work that was sent at a time.
func (m *PlatformMember) checkDrain(sent time.Time) {
	arrived := m.world.now
	if t := sent.Add(maxTransit); t.Before(arrived) {
		arrived = t
	}
	if m.draining && arrived.Sub(m.drainingAt) > platformDrainTime {
		m.world.addViolation("a draining member got new work")
	}
}

// Log returns the member's log.
func (m *PlatformMember) Log() Log { return m.log }

// Restart starts a killed member, without its log if empty is set. A primary comes back as a
// replica if another member was promoted.
func (m *PlatformMember) Restart(empty bool) {
	if m.alive {
		return
	}
	m.start()
	if empty {
		m.log = nil
	}
	if p := m.world.Primary(); m.primary && p != m {
		m.primary, m.source = false, p
	}
	m.pullLog()
}

// catalogMember returns the member as the platform's catalog lists it.
func (m *PlatformMember) catalogMember() catalog.Member {
	return catalog.Member{ID: m.Name, Group: "g", Address: m.Name, FailureDomain: m.Location.FailureDomain, Region: m.Location.Region, Slots: slotsPerMember, Draining: m.draining}
}

// position returns the end of the log as the member reports it.
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

func (m *PlatformMember) appendEntry(id string) logpos.Position {
	e := LogEntry{Position: logpos.Position{Term: m.term, Offset: uint64(len(m.log)) + 1}, Statement: Statement{ID: id}}
	m.log = append(m.log[:len(m.log):len(m.log)], e)
	return e.Position
}

// pullLog requests the log of the source every pullInterval.
func (m *PlatformMember) pullLog() {
	p := m.source
	if m.primary || p == nil {
		m.after(pullInterval, m.pullLog)
		return
	}
	m.world.startCall(&call{
		from: m.Node, to: p.Node, purpose: "replication", timeout: pullTimeout,
		handle: func(reply func(any)) { reply(p.log) },
		done: func(v any, ok bool) {
			if l, is := v.(Log); ok && is {
				m.after(m.Lag, func() { m.replaceLog(l, p) })
			}
			m.after(pullInterval, m.pullLog)
		},
	})
}

// replaceLog replaces the log by that of the source p, if the member still
// replicates from it.
func (m *PlatformMember) replaceLog(l Log, p *PlatformMember) {
	if m.primary || m.source != p || l.Last().Less(m.log.Last()) {
		return
	}
	m.log = l
	m.term = max(m.term, p.term)
}

// demote makes the member a replica if it is the primary of a term below the
// given one.
func (m *PlatformMember) demote(term uint64) {
	if p := m.world.Primary(); m.primary && m.term < term && p != m {
		m.primary, m.source = false, p
	}
}

// platformMemberAnswer is a member's answer to a statement.
type platformMemberAnswer struct {
	ok       bool
	position logpos.Position
	log      Log
	term     uint64
}

// executeWrite runs a write on a primary.
func (m *PlatformMember) executeWrite(x *platformWrite) platformMemberAnswer {
	if !m.primary {
		return platformMemberAnswer{position: m.position()}
	}
	p := m.appendEntry(x.id)
	x.commits++
	x.position, x.committedAt = p, m.world.now
	return platformMemberAnswer{ok: true, position: p, term: m.term}
}

// executeRead runs a read, on a primary or on a replica whose log has reached
// the given position.
func (m *PlatformMember) executeRead(after logpos.Position, primary bool) platformMemberAnswer {
	if primary && !m.primary || !primary && m.log.Last().Less(after) {
		return platformMemberAnswer{position: m.position()}
	}
	return platformMemberAnswer{ok: true, position: m.position(), log: m.log}
}

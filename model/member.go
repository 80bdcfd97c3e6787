package model

import (
	"time"

	"github.com/dragonflypick/dragonflypick/failover"
	"github.com/dragonflypick/dragonflypick/logpos"
)

// statementCost is how long a member works on a statement.
const statementCost = 2 * time.Millisecond

// spreadTime is how long a change takes to reach all daemons.
const spreadTime = time.Second

// Member is a member of the database group.
type Member struct {
	*Node
	role   failover.Role
	term   uint64
	holder string
	// primary is the name of the member that this one follows.
	primary string
	// epoch rises whenever role, term or primary change; work of an older
	// epoch must not change the log.
	epoch   uint64
	log     Log
	contact time.Time
	// Lag delays replication to this member.
	Lag time.Duration
	// leaving tells that the member is being returned.
	leaving bool
	// ended are statements whose session was ended.
	ended map[string]bool
	// pulls wait for the log to grow or the role to change.
	pulls []func()
}

func (w *World) newMember(name string, p Place, primary string) *Member {
	m := &Member{Node: w.node(name, p), role: failover.Replica, term: 1, primary: primary, contact: w.now, ended: map[string]bool{}}
	if primary == "" {
		m.role = failover.Primary
	}
	w.Members = append(w.Members, m)
	m.changed()
	return m
}

// Log returns the member's log.
func (m *Member) Log() Log { return m.log }

// Role returns what the member takes itself for, and in which term.
func (m *Member) Role() (failover.Role, uint64) { return m.role, m.term }

func (m *Member) status() failover.Status {
	s := failover.Status{Role: m.role, Term: m.term, Position: m.log.Last(), Primary: m.primary}
	if m.role == failover.Replica {
		s.ContactAge = m.w.now.Sub(m.contact)
	}
	return s
}

// SetDraining marks the member as one that is being returned, or no longer; the
// daemons learn of it one after the other.
func (m *Member) SetDraining(on bool) {
	m.leaving = on
	for _, d := range m.w.Daemons {
		d.after(time.Duration(m.w.r.Float64()*float64(spreadTime)), d.configure)
	}
}

// Restart starts a killed member, which has kept its log and its term.
func (m *Member) Restart() {
	if m.alive {
		return
	}
	m.start()
	m.contact = m.w.now
	m.changed()
}

func (m *Member) changed() {
	m.epoch++
	m.wake()
	e := m.epoch
	if m.role == failover.Replica && m.primary != "" {
		m.after(0, func() { m.pull(e) })
	}
}

func (m *Member) wake() {
	l := m.pulls
	m.pulls = nil
	for _, f := range l {
		m.after(0, f)
	}
}

// fence refuses all terms below t, and t for other holders.
func (m *Member) fence(t uint64, holder string) bool {
	if m.w.Options.NoFence {
		return true
	}
	if t < m.term || t == m.term && m.holder != holder {
		return false
	}
	if t == m.term {
		return true
	}
	m.term, m.holder = t, holder
	m.role, m.primary = failover.Replica, ""
	m.changed()
	return true
}

// promote makes the member primary of the term that holder has fenced here.
func (m *Member) promote(t uint64, holder string) bool {
	if m.w.Options.NoFence && t > m.term {
		m.term, m.holder, m.role = t, holder, failover.Replica
	}
	if t != m.term || holder != m.holder {
		return false
	}
	if m.role == failover.Primary {
		return true
	}
	m.role, m.primary = failover.Primary, ""
	m.append(Entry{})
	m.changed()
	m.w.promoted(m)
	return true
}

// follow makes the member a replica of the primary of term t.
func (m *Member) follow(t uint64, primary string) bool {
	if t < m.term || t == m.term && m.role == failover.Primary {
		return false
	}
	if t == m.term && m.primary == primary {
		return true
	}
	if t > m.term {
		m.holder = ""
	}
	m.term, m.role, m.primary = t, failover.Replica, primary
	m.contact = m.w.now
	m.changed()
	return true
}

func (m *Member) append(e Entry) logpos.Position {
	e.Position = logpos.Position{Term: m.term, Offset: m.log.Last().Offset + 1}
	m.log = append(m.log, e)
	m.wake()
	return e.Position
}

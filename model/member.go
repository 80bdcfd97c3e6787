package model

import (
	"time"

	"github.com/dragonflypick/dragonflypick/failover"
	"github.com/dragonflypick/dragonflypick/logpos"
)

// statementCost is how long a member takes for a statement.
const statementCost = 2 * time.Millisecond

// maxPropagationTime bounds the time until all daemons have received a change
// of a member.
const maxPropagationTime = time.Second

// Member is a member of the database group of a World.
type Member struct {
	*Node
	role failover.Role
	term uint64
	// holder is the daemon that has fenced the member in its term.
	holder string
	// primary is the name of the member that this one replicates from.
	primary string
	// epoch increases whenever role, term or primary change; an operation that
	// began in an earlier epoch must not change the log.
	epoch uint64
	log   Log
	// lastContact is when the member last received an answer from its primary.
	lastContact time.Time
	// Lag delays the replication to this member.
	Lag time.Duration
	// draining means that the member is to be taken out of service, since drainingAt.
	draining   bool
	drainingAt time.Time
	// endedSessions holds the IDs of statements whose session was ended.
	endedSessions map[string]bool
	// pullWaiters are called when the log grows or when role, term or primary
	// change.
	pullWaiters []func()
}

func (w *World) newMember(name string, p Location, primary string) *Member {
	m := &Member{Node: w.newNode(name, p), role: failover.Replica, term: 1, primary: primary, lastContact: w.now, endedSessions: map[string]bool{}}
	if primary == "" {
		m.role = failover.Primary
	}
	w.Members = append(w.Members, m)
	m.startEpoch()
	return m
}

// Log returns the member's log.
func (m *Member) Log() Log { return m.log }

// Role returns the role and the term of the member in its own view.
func (m *Member) Role() (failover.Role, uint64) { return m.role, m.term }

func (m *Member) status() failover.Status {
	s := failover.Status{Role: m.role, Term: m.term, Position: m.log.Last(), Primary: m.primary}
	if m.role == failover.Replica {
		s.ContactAge = m.world.now.Sub(m.lastContact)
	}
	return s
}

// SetDraining sets whether the member is draining. Each daemon receives the
// change at a random time within maxPropagationTime.
func (m *Member) SetDraining(on bool) {
	if on && !m.draining {
		m.drainingAt = m.world.now
	}
	m.draining = on
	for _, d := range m.world.Daemons {
		d.after(time.Duration(m.world.random.Float64()*float64(maxPropagationTime)), d.configureGroup)
	}
}

// checkDrain checks that the member may get new work.
func (m *Member) checkDrain() {
	if m.draining && m.world.now.Sub(m.drainingAt) > memberDrainTime {
		m.world.addViolation("a draining member got new work")
	}
}

// Restart starts a killed member with the log and the term that it had.
func (m *Member) Restart() {
	if m.alive {
		return
	}
	m.start()
	m.lastContact = m.world.now
	m.startEpoch()
}

// startEpoch starts a new epoch after a change of role, term or primary.
func (m *Member) startEpoch() {
	m.epoch++
	m.resumePulls()
	e := m.epoch
	if m.role == failover.Replica && m.primary != "" {
		m.after(0, func() { m.pullLog(e) })
	}
}

func (m *Member) resumePulls() {
	l := m.pullWaiters
	m.pullWaiters = nil
	for _, f := range l {
		m.after(0, f)
	}
}

// fence makes the member refuse all terms below t, and refuse t for other
// holders.
func (m *Member) fence(t uint64, holder string) bool {
	if m.world.Options.NoFence {
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
	m.startEpoch()
	return true
}

// promote makes the member the primary of term t, if holder has fenced it in
// that term.
func (m *Member) promote(t uint64, holder string) bool {
	if m.world.Options.NoFence && t > m.term {
		m.term, m.holder, m.role = t, holder, failover.Replica
	}
	if t != m.term || holder != m.holder {
		return false
	}
	if m.role == failover.Primary {
		return true
	}
	m.role, m.primary = failover.Primary, ""
	m.appendEntry(LogEntry{})
	m.startEpoch()
	m.world.recordPromotion(m)
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
	m.lastContact = m.world.now
	m.startEpoch()
	return true
}

// appendEntry commits an entry in the member's term.
func (m *Member) appendEntry(e LogEntry) logpos.Position {
	e.Position = logpos.Position{Term: m.term, Offset: m.log.Last().Offset + 1}
	m.log = append(m.log, e)
	m.resumePulls()
	return e.Position
}

package site

import (
	"slices"
	"strings"
	"time"
)

// newestPrimary returns the group's primary of the highest term; g.mu is held.
func (g *group) newestPrimary() *member {
	var o *member
	for _, m := range g.members {
		if m.primary && (o == nil || m.term > o.term) {
			o = m
		}
	}
	return o
}

// CrashPrimary stops the primary of group i. The returned function restarts it
// with its log.
func (s *Site) CrashPrimary(i int) (restart func()) {
	g := s.groups[i]
	g.mu.Lock()
	m := g.newestPrimary()
	g.mu.Unlock()
	s.stopMember(m)
	return func() {
		g.mu.Lock()
		m.down, m.startedAt = false, time.Now().UnixMilli()
		g.demote(m)
		if m.primary {
			g.replicate(m)
		}
		g.mu.Unlock()
		s.publishMembers(g)
	}
}

// CutPrimaryFromStore removes the record of the primary of group i from the store, to which
// the member reports nothing until the returned function is called.
func (s *Site) CutPrimaryFromStore(i int) (restore func()) {
	g := s.groups[i]
	g.mu.Lock()
	m := g.newestPrimary()
	g.mu.Unlock()
	return s.cutFromStore(m)
}

// replica returns the n-th replica of group i.
func (s *Site) replica(i, n int) *member {
	g := s.groups[i]
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		if m.primary {
			continue
		}
		if n == 0 {
			return m
		}
		n--
	}
	return nil
}

// CutReplica partitions the n-th replica of group i from the store and the daemons, but not
// from the other members, until the returned function is called.
func (s *Site) CutReplica(i, n int) (restore func()) {
	m := s.replica(i, n)
	listed, reached := s.cutFromStore(m), m.cutFromDaemons()
	return func() {
		reached()
		listed()
	}
}

// CutMember partitions a member of group i from the daemons until the returned function is
// called.
func (s *Site) CutMember(i int, id string) (restore func()) {
	for _, m := range s.groups[i].members {
		if m.id == id {
			return m.cutFromDaemons()
		}
	}
	return func() {}
}

// cutFromDaemons lets no daemon reach a member until the returned function is called.
func (m *member) cutFromDaemons() (restore func()) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.unreachable = true
	for c := range m.conns {
		_ = c.Close()
	}
	return func() {
		m.group.mu.Lock()
		defer m.group.mu.Unlock()
		m.unreachable = false
	}
}

// StopReplication lets the n-th replica of group i receive nothing until the returned
// function is called.
func (s *Site) StopReplication(i, n int) (resume func()) {
	m := s.replica(i, n)
	g := m.group
	set := func(stopped bool) {
		g.mu.Lock()
		defer g.mu.Unlock()
		m.replicationStopped = stopped
		if p := g.newestPrimary(); p != nil && !p.down {
			g.replicate(p)
		}
	}
	set(true)
	return func() { set(false) }
}

// Promotions returns how many promotions have taken effect in group i.
func (s *Site) Promotions(i int) int {
	g := s.groups[i]
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.promotedAt)
}

// cutFromStore removes a member's record until the returned function is called.
func (s *Site) cutFromStore(m *member) (restore func()) {
	g := m.group
	g.mu.Lock()
	m.cutFromStore = true
	g.mu.Unlock()
	s.store.mu.Lock()
	s.store.remove("servers/" + m.id)
	s.store.mu.Unlock()
	return func() {
		g.mu.Lock()
		m.cutFromStore = false
		g.mu.Unlock()
		s.publishMembers(g)
	}
}

// PutMemberEntry writes an entry among those of the members, as another writer might. No
// member refreshes or removes it.
func (s *Site) PutMemberEntry(id string, value []byte) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	s.store.put("servers/"+id, value, 0)
}

// KeysUnder returns the keys of the store under a prefix.
func (s *Site) KeysUnder(prefix string) []string {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	var o []string
	for k := range s.store.items {
		if strings.HasPrefix(k, prefix) {
			o = append(o, k)
		}
	}
	slices.Sort(o)
	return o
}

// stopMember closes all connections of a member and makes it close new ones
// immediately.
func (s *Site) stopMember(m *member) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.down = true
	m.incarnation++
	for c := range m.conns {
		_ = c.Close()
	}
}

// RestartPrimaryEmpty restarts the primary of group i with the same ID and an
// empty log.
func (s *Site) RestartPrimaryEmpty(i int) {
	g := s.groups[i]
	g.mu.Lock()
	m := g.newestPrimary()
	g.mu.Unlock()
	s.stopMember(m)
	g.mu.Lock()
	m.log, m.down, m.startedAt = nil, false, time.Now().UnixMilli()
	g.mu.Unlock()
	s.publishMembers(g)
}

// DrainPrimary sets the state of the primary of group i to draining.
func (s *Site) DrainPrimary(i int) {
	g := s.groups[i]
	g.mu.Lock()
	m := g.newestPrimary()
	g.mu.Unlock()
	s.drain(m)
}

// DrainReplica sets the state of the n-th replica of group i to draining.
func (s *Site) DrainReplica(i, n int) { s.drain(s.replica(i, n)) }

func (s *Site) drain(m *member) {
	m.group.mu.Lock()
	m.draining, m.drainingAt = true, time.Now()
	m.group.mu.Unlock()
	s.publishMembers(m.group)
}

// EndDrains sets the state of all members of group i to ready.
func (s *Site) EndDrains(i int) {
	g := s.groups[i]
	g.mu.Lock()
	for _, m := range g.members {
		m.draining = false
	}
	g.mu.Unlock()
	s.publishMembers(g)
}

// SetLag sets the replication lag of all groups.
func (s *Site) SetLag(d time.Duration) {
	for _, g := range s.groups {
		g.mu.Lock()
		g.lag = d
		g.mu.Unlock()
	}
}

// SetStoreFault sets whether the store refuses all calls (down), and whether the
// answers to its writes are lost (loseAnswers).
func (s *Site) SetStoreFault(down, loseAnswers bool) { s.store.setFault(down, loseAnswers) }

// SetStoreSilent sets whether the store answers nobody, not even the watches that it
// holds already.
func (s *Site) SetStoreSilent(silent bool) { s.store.setSilent(silent) }

// CompactStore discards the store's history, so that older watches fail.
func (s *Site) CompactStore() { s.store.compact() }

// RestoreStore brings the store back from a copy of the given age, in a new era. What the
// operator and the members wrote is written again soon after.
func (s *Site) RestoreStore(age time.Duration) {
	s.store.restore(age)
	time.AfterFunc(rewriteDelay, func() {
		for _, g := range s.groups {
			s.publishMembers(g)
		}
		s.mu.Lock()
		b := s.configuration
		s.mu.Unlock()
		s.store.mu.Lock()
		defer s.store.mu.Unlock()
		s.store.put("op/config", b, 0)
	})
}

// rewriteDelay is how long after the store has come back from a copy the operator and
// the members write again what they wrote.
const rewriteDelay = 700 * time.Millisecond

// StoreCalls returns the numbers of calls that the store has received.
func (s *Site) StoreCalls() StoreCalls {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	return s.store.calls
}

// SetLateWrites makes the store execute writes that long after their arrival, without an
// answer; zero ends this.
func (s *Site) SetLateWrites(d time.Duration) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	s.store.lateWrites = d
}

// RegisteredHosts returns the number of hosts that the store lists.
func (s *Site) RegisteredHosts() int {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	n := 0
	for k := range s.store.items {
		if strings.HasPrefix(k, "dragonflypick/hosts/") {
			n++
		}
	}
	return n
}

// StoreRevision returns the store's current revision.
func (s *Site) StoreRevision() uint64 {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	return s.store.revision
}

// SetMute makes a replica of group i answer no read outside of transactions in time, or
// answer again.
func (s *Site) SetMute(i int, mute bool) {
	g := s.groups[i]
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		if !m.primary {
			m.mute = mute
			return
		}
	}
}

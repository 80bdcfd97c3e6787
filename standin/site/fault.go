package site

import "time"

// primary returns the member that leads the newest term of a group.
func (g *group) newestPrimary() *member {
	var o *member
	for _, m := range g.members {
		if m.primary && (o == nil || m.term > o.term) {
			o = m
		}
	}
	return o
}

// CrashPrimary stops a group's primary and returns what starts it again, with its log.
func (s *Site) CrashPrimary(i int) (restart func()) {
	g := s.groups[i]
	g.mu.Lock()
	m := g.newestPrimary()
	g.mu.Unlock()
	s.stop(m)
	return func() {
		g.mu.Lock()
		m.down = false
		g.demote(m)
		g.mu.Unlock()
		s.publishMembers(g)
	}
}

// stop makes a member drop all connections and take no more.
func (s *Site) stop(m *member) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.down = true
	m.incarnation++
	for c := range m.conns {
		_ = c.Close()
	}
}

// RestartPrimaryEmpty restarts a group's primary under its ID without its log.
func (s *Site) RestartPrimaryEmpty(i int) {
	g := s.groups[i]
	g.mu.Lock()
	m := g.newestPrimary()
	g.mu.Unlock()
	s.stop(m)
	g.mu.Lock()
	m.log, m.down, m.startedAt = nil, false, time.Now().UnixMilli()
	g.mu.Unlock()
	s.publishMembers(g)
}

// DrainPrimary announces that a group's primary leaves.
func (s *Site) DrainPrimary(i int) {
	g := s.groups[i]
	g.mu.Lock()
	g.newestPrimary().draining = true
	g.mu.Unlock()
	s.publishMembers(g)
}

// SetLag sets how far the replicas of all groups are behind.
func (s *Site) SetLag(d time.Duration) {
	for _, g := range s.groups {
		g.mu.Lock()
		g.lag = d
		g.mu.Unlock()
	}
}

// SetStoreFault sets whether the store refuses all calls, and whether it loses the
// answers to writes.
func (s *Site) SetStoreFault(down, lose bool) { s.store.setFault(down, lose) }

// CompactStore makes the store forget its history.
func (s *Site) CompactStore() { s.store.compact() }

// StoreRevision returns the store's revision.
func (s *Site) StoreRevision() uint64 {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	return s.store.revision
}

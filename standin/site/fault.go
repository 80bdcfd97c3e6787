package site

import "time"

// primary returns the member that leads the newest term of a group.
func (g *group) leader() *member {
	var o *member
	for _, m := range g.members {
		if m.primary && (o == nil || m.term > o.term) {
			o = m
		}
	}
	return o
}

// Crash stops a group's primary and returns what starts it again, with its log.
func (s *Site) Crash(i int) (restart func()) {
	g := s.groups[i]
	g.mu.Lock()
	m := g.leader()
	g.mu.Unlock()
	s.stop(m)
	return func() {
		g.mu.Lock()
		m.down = false
		g.demote(m)
		g.mu.Unlock()
		s.beatAll(g)
	}
}

// stop makes a member drop all connections and take no more.
func (s *Site) stop(m *member) {
	m.g.mu.Lock()
	defer m.g.mu.Unlock()
	m.down = true
	m.life++
	for c := range m.conns {
		_ = c.Close()
	}
}

// Empty restarts a group's primary under its ID without its log.
func (s *Site) Empty(i int) {
	g := s.groups[i]
	g.mu.Lock()
	m := g.leader()
	g.mu.Unlock()
	s.stop(m)
	g.mu.Lock()
	m.log, m.down, m.born = nil, false, time.Now().UnixMilli()
	g.mu.Unlock()
	s.beatAll(g)
}

// Drain announces that a group's primary leaves.
func (s *Site) Drain(i int) {
	g := s.groups[i]
	g.mu.Lock()
	g.leader().draining = true
	g.mu.Unlock()
	s.beatAll(g)
}

// SetLag sets how far the replicas of all groups are behind.
func (s *Site) SetLag(d time.Duration) {
	for _, g := range s.groups {
		g.mu.Lock()
		g.lag = d
		g.mu.Unlock()
	}
}

// SetStore sets whether the store refuses all calls, and whether it loses the
// answers to writes.
func (s *Site) SetStore(down, lose bool) { s.kv.set(down, lose) }

// Compact makes the store forget its history.
func (s *Site) Compact() { s.kv.compact() }

// Revision returns the store's revision.
func (s *Site) Revision() uint64 {
	s.kv.mu.Lock()
	defer s.kv.mu.Unlock()
	return s.kv.revision
}

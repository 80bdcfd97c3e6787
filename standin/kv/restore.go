package kv

import (
	"maps"
	"time"
)

// copyRetention is how long copies of the store are kept.
const copyRetention = 15 * time.Second

// storeCopy is the state of the store from a time on.
type storeCopy struct {
	at       time.Time
	index    uint64
	pairs    map[string]Pair
	sessions map[string]session
}

// keepCopy keeps a copy of the store as it is now; s.mu is held.
func (s *Store) keepCopy(now time.Time) {
	c := storeCopy{at: now, index: s.index, pairs: maps.Clone(s.pairs), sessions: map[string]session{}}
	for id, e := range s.sessions {
		c.sessions[id] = *e
	}
	s.copies = append(s.copies, c)
	for len(s.copies) > 1 && now.Sub(s.copies[1].at) >= copyRetention {
		s.copies = s.copies[1:]
	}
}

// Restore brings the store back to its state some time ago, at most copyRetention:
// later writes and sessions are lost, and their indexes are given out again.
func (s *Store) Restore(age time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.copies[0]
	for _, o := range s.copies {
		if now.Sub(o.at) >= age {
			c = o
		}
	}
	s.index, s.pairs = c.index, maps.Clone(c.pairs)
	s.sessions = map[string]*session{}
	for id, e := range c.sessions {
		s.sessions[id] = &session{ttl: e.ttl, expires: now.Add(e.ttl)}
	}
	s.copies = []storeCopy{c}
	s.history = []snapshot{{at: now.Add(-s.lag), index: s.index, pairs: s.pairsWithPrefix(s.laggingPrefix)}}
	close(s.changed)
	s.changed = make(chan struct{})
}

package teamconns

import "time"

// NewGreedy returns a set that opens a connection for each request whose team has no
// idle one, in place of the least recently used one.
func NewGreedy(c Config) *Set {
	s := New(c)
	s.greedy = true
	return s
}

// Remembered returns the number of teams that a set remembers.
func (s *Set) Remembered() int { return len(s.teams) }

// NewWithoutExchange returns a set that opens nothing at a member that has refused a
// connection, until it may have room again.
func NewWithoutExchange(c Config) *Set {
	s := New(c)
	s.exchangeAt = time.Unix(1<<40, 0)
	return s
}

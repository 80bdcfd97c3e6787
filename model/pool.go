package model

import (
	"strconv"
	"time"
)

// Timing of the checks of idle connections.
const (
	idleCheckInterval = time.Second
	idleCheckAfter    = time.Second
	idleCheckTimeout  = 300 * time.Millisecond
)

// takeConnection returns the purpose that identifies an idle or a new
// connection, and how long opening it takes.
func (s *server) takeConnection() (string, time.Duration) {
	if n := len(s.idle); n > 0 {
		c := s.idle[n-1]
		s.idle = s.idle[:n-1]
		return c.purpose, 0
	}
	s.openedCount++
	return "pool-" + strconv.Itoa(s.openedCount), connectCost
}

// checkIdleConnections checks the idle connections every idleCheckInterval, so
// that a silent connection is detected before a statement uses it.
func (d *Daemon) checkIdleConnections() {
	for _, m := range d.world.Members {
		if s := d.servers[m.Name]; s != nil {
			d.checkIdleConnectionsTo(m, s)
		}
	}
	d.after(idleCheckInterval, d.checkIdleConnections)
}

// checkIdleConnectionsTo checks the connections to a member that have been idle
// for at least idleCheckAfter, and drops those that give no answer.
func (d *Daemon) checkIdleConnectionsTo(m *Member, s *server) {
	l := s.idle
	s.idle = nil
	for _, c := range l {
		if d.world.now.Sub(c.lastUsed) < idleCheckAfter {
			s.idle = append(s.idle, c)
			continue
		}
		d.world.startCall(&call{
			from: d.Node, to: m.Node, purpose: c.purpose, timeout: idleCheckTimeout,
			handle: func(answer func(any)) { answer(nil) },
			done: func(_ any, ok bool) {
				if ok {
					s.idle = append(s.idle, idleConnection{purpose: c.purpose, lastUsed: d.world.now})
				}
			},
		})
	}
}

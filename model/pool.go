package model

import (
	"strconv"
	"time"
)

// Timing of checks of idle connections.
const (
	idleCheckInterval = time.Second
	idleCheckAfter    = time.Second
	idleCheckTimeout  = 300 * time.Millisecond
)

// takeConnection returns a connection and what it costs to open it.
func (s *server) takeConnection() (string, time.Duration) {
	if n := len(s.idle); n > 0 {
		c := s.idle[n-1]
		s.idle = s.idle[:n-1]
		return c.purpose, 0
	}
	s.opened++
	return "pool-" + strconv.Itoa(s.opened), connectCost
}

// checkIdleConnections checks idle connections, again and again, so that a silent one is
// found before a statement takes it.
func (d *Daemon) checkIdleConnections() {
	for _, m := range d.w.Members {
		if s := d.servers[m.Name]; s != nil {
			d.checkIdleConnectionsOf(m, s)
		}
	}
	d.after(idleCheckInterval, d.checkIdleConnections)
}

func (d *Daemon) checkIdleConnectionsOf(m *Member, s *server) {
	l := s.idle
	s.idle = nil
	for _, c := range l {
		if d.w.now.Sub(c.lastUsed) < idleCheckAfter {
			s.idle = append(s.idle, c)
			continue
		}
		d.w.startCall(&call{
			from: d.Node, to: m.Node, purpose: c.purpose, timeout: idleCheckTimeout,
			handle: func(answer func(any)) { answer(nil) },
			done: func(_ any, ok bool) {
				if ok {
					s.idle = append(s.idle, idleConnection{purpose: c.purpose, lastUsed: d.w.now})
				}
			},
		})
	}
}

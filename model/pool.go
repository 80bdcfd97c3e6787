package model

import (
	"strconv"
	"time"
)

// Timing of checks of idle connections.
const (
	sweepInterval = time.Second
	checkAfter    = time.Second
	checkTimeout  = 300 * time.Millisecond
)

// take returns a connection and what it costs to open it.
func (s *server) take() (string, time.Duration) {
	if n := len(s.idle); n > 0 {
		c := s.idle[n-1]
		s.idle = s.idle[:n-1]
		return c.use, 0
	}
	s.opened++
	return "pool-" + strconv.Itoa(s.opened), connectCost
}

// sweep checks idle connections, again and again, so that a silent one is
// found before a statement takes it.
func (d *Daemon) sweep() {
	for _, m := range d.w.Members {
		if s := d.servers[m.Name]; s != nil {
			d.sweepServer(m, s)
		}
	}
	d.after(sweepInterval, d.sweep)
}

func (d *Daemon) sweepServer(m *Member, s *server) {
	l := s.idle
	s.idle = nil
	for _, c := range l {
		if d.w.now.Sub(c.used) < checkAfter {
			s.idle = append(s.idle, c)
			continue
		}
		d.w.do(&call{
			from: d.Node, to: m.Node, use: c.use, timeout: checkTimeout,
			handle: func(answer func(any)) { answer(nil) },
			done: func(_ any, ok bool) {
				if ok {
					s.idle = append(s.idle, pooled{use: c.use, used: d.w.now})
				}
			},
		})
	}
}

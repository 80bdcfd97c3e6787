package backend

import (
	"context"
	"errors"
	"net"
	"time"
)

// abandonedTTL is how long the end of an abandoned session is requested. It is short,
// since the server may assign the process ID of a session that has ended to another
// one.
const abandonedTTL = 30 * time.Second

// abandonedSession is a session whose connection no longer answered and was closed. Its
// server may not have noticed: then the session still counts against the server's
// limit of connections.
type abandonedSession struct {
	pid   uint32
	since time.Time
}

// Abandon records that the session with the given process ID has lost its connection,
// which didn't answer in time.
func (p *Pool) Abandon(pid uint32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.abandoned = append(p.abandoned, abandonedSession{pid: pid, since: time.Now()})
}

// EndAbandoned calls end for each abandoned session until it returns true once for the
// session or abandonedTTL has passed.
func (p *Pool) EndAbandoned(x context.Context, end func(x context.Context, pid uint32) bool) {
	p.mu.Lock()
	l := p.abandoned
	p.abandoned = nil
	p.mu.Unlock()
	var rest []abandonedSession
	for _, s := range l {
		if !end(x, s.pid) && time.Since(s.since) < abandonedTTL {
			rest = append(rest, s)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.abandoned = append(p.abandoned, rest...)
}

// HasAbandoned reports whether sessions are to be ended.
func (p *Pool) HasAbandoned() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.abandoned) > 0
}

// check pings an idle connection and reports whether it can be used; its session is
// abandoned if it doesn't answer.
func (p *Pool) check(c *Conn) bool {
	err := c.Ping(checkTimeout)
	if IsTimeout(err) {
		p.Abandon(c.PID())
	}
	return err == nil
}

// IsTimeout reports whether a connection has failed because no answer arrived in time.
func IsTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

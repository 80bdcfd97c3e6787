package pool

import (
	"context"
	"slices"
	"time"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/query"
)

// dialTimeout bounds opening a connection; a member needs some ten milliseconds.
const dialTimeout = 1500 * time.Millisecond

// acquire returns a connection, an idle one with fitting values first.
func (p *Pool) acquire(x context.Context, r *query.Request, deadline time.Time) (*conn, *query.Failure) {
	w := &waiter{rank: r.Rank, tx: r.Use == query.First, ready: make(chan struct{}, 1)}
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	defer p.leave(w)
	for {
		c, dial, f := p.take(w, r.Values)
		switch {
		case f != nil:
			return nil, f
		case c != nil:
			return c, nil
		case dial:
			c, f := p.dial(x, w, deadline)
			if c != nil || f != nil {
				return c, f
			}
		}
		select {
		case <-w.ready:
		case <-t.C:
			return nil, &query.Failure{Reason: query.Overloaded, Text: "no connection was free in time"}
		case <-x.Done():
			return nil, &query.Failure{Reason: query.Aborted, Text: "the caller has left"}
		}
	}
}

// take returns an idle connection, or tells to open one, or neither if the
// waiter has to wait. An opened one is counted already.
func (p *Pool) take(w *waiter, v []query.Value) (c *conn, dial bool, f *query.Failure) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, false, &query.Failure{Reason: query.Moved, Text: "the member is owned elsewhere"}
	}
	if !slices.Contains(p.waiters, w) {
		p.waiters = append(p.waiters, w)
	}
	if p.before(w) || w.tx && p.limit.Open() >= p.limit.Limit(w.rank) {
		return nil, false, nil
	}
	if n := len(p.idle); n > 0 {
		i := n - 1
		for j := n - 1; j >= 0; j-- {
			if p.idle[j].fits(v) {
				i = j
				break
			}
		}
		c = p.idle[i]
		p.idle = slices.Delete(p.idle, i, i+1)
	} else if p.open >= p.limit.Connections || p.c.Now().Before(p.full) {
		return nil, false, nil
	} else {
		p.open++
	}
	if w.tx {
		p.limit.Begin(w.rank)
	}
	return c, c == nil, nil
}

// before reports whether another waiter that could go on goes first.
func (p *Pool) before(w *waiter) bool {
	for _, o := range p.waiters {
		if o == w {
			continue
		}
		if o.tx && p.limit.Open() >= p.limit.Limit(o.rank) {
			continue
		}
		if o.rank < w.rank || o.rank == w.rank && slices.Index(p.waiters, o) < slices.Index(p.waiters, w) {
			return len(p.idle) == 0
		}
	}
	return false
}

// leave takes a waiter out and lets the next one look.
func (p *Pool) leave(w *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiters = slices.DeleteFunc(p.waiters, func(o *waiter) bool { return o == w })
	p.wake()
}

// wake lets all waiters look again; p.mu is held.
func (p *Pool) wake() {
	for _, w := range p.waiters {
		select {
		case w.ready <- struct{}{}:
		default:
		}
	}
}

// dial opens a connection that is counted already. Both results are nil if the
// member has none left and the waiter is to wait.
func (p *Pool) dial(x context.Context, w *waiter, deadline time.Time) (*conn, *query.Failure) {
	if d := time.Now().Add(dialTimeout); d.Before(deadline) {
		deadline = d
	}
	y, stop := context.WithDeadline(x, deadline)
	defer stop()
	k, err := p.c.Dialer.Dial(y, p.c.Member)
	if err == nil {
		p.heardNow(query.Reply{}, time.Time{})
		return &conn{Conn: k, prepared: map[string]bool{}}, nil
	}
	f := failure(err)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	if w.tx {
		p.limit.End(w.rank)
	}
	if f.Reason == query.TooManyConnections {
		p.full = p.c.Now().Add(fullPause)
		time.AfterFunc(fullPause, p.retry)
		return nil, nil
	}
	p.failures++
	return nil, f
}

// retry lets waiters look again after the member had no connections left.
func (p *Pool) retry() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wake()
}

// failure returns why a connection could not be opened.
func failure(err error) *query.Failure {
	if f, ok := asFailure(err); ok {
		return f
	}
	return &query.Failure{Reason: query.Unreachable, Text: err.Error()}
}

// release gives a connection back, or drops it if it broke.
func (p *Pool) release(c *conn, broken bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if broken || p.closed {
		p.open--
		c.Close()
	} else {
		c.used = p.c.Now()
		p.idle = append(p.idle, c)
	}
	p.wake()
}

// Sweep closes connections that nobody has used for long.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 && p.c.Now().Sub(p.idle[0].used) > idleTime {
		p.idle[0].Close()
		p.idle = p.idle[1:]
		p.open--
	}
}

// Close drops idle connections now and others as they become free. New requests
// are told to go elsewhere; open transactions go on.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.Close()
		p.open--
	}
	p.idle = nil
	p.wake()
}

// Kill drops all connections, also those of open transactions.
func (p *Pool) Kill() {
	p.Close()
	p.mu.Lock()
	l := make([]*tx, 0, len(p.txs))
	for _, t := range p.txs {
		l = append(l, t)
	}
	p.mu.Unlock()
	for _, t := range l {
		t.c.Close()
	}
}

// Member returns the backend server.
func (p *Pool) Member() catalog.Member { return p.c.Member }

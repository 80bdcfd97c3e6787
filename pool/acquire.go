package pool

import (
	"context"
	"slices"
	"time"

	"github.com/dragonflypick/dragonflypick/query"
)

// dialTimeout bounds opening a connection, which takes a member about 10 ms.
const dialTimeout = 1500 * time.Millisecond

// acquireConn returns a connection: an idle one with the same session values if
// there is one, otherwise any idle one, otherwise a new one. It waits until
// deadline.
func (p *Pool) acquireConn(x context.Context, v []query.Value, deadline time.Time) (*conn, *query.Failure) {
	w := make(chan struct{}, 1)
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	defer p.removeWaiter(w)
	for {
		c, dial, f := p.takeIdle(w, v)
		switch {
		case f != nil:
			return nil, f
		case c != nil:
			return c, nil
		case dial:
			if c, f := p.dial(x, deadline); c != nil || f != nil {
				return c, f
			}
			continue
		}
		select {
		case <-w:
		case <-t.C:
			return nil, &query.Failure{Reason: query.Overloaded, Text: "no connection was free in time"}
		case <-x.Done():
			return nil, &query.Failure{Reason: query.Aborted, Text: "the caller has left"}
		}
	}
}

// takeIdle returns an idle connection, or dial set if the caller is to open one,
// which is already counted in p.open. If neither is possible, it registers the
// waiter.
func (p *Pool) takeIdle(w chan struct{}, v []query.Value) (c *conn, dial bool, f *query.Failure) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, false, &query.Failure{Reason: query.Moved, Text: "the member is owned elsewhere"}
	}
	n := len(p.idle)
	if n == 0 {
		if p.open >= p.maxConnections || p.config.Now().Before(p.noDialUntil) || !p.pacer.reserveOpening() {
			if !slices.Contains(p.waiters, w) {
				p.waiters = append(p.waiters, w)
			}
			return nil, false, nil
		}
		p.open++
		return nil, true, nil
	}
	i := n - 1
	for j := n - 1; j >= 0; j-- {
		if p.idle[j].hasValues(v) {
			i = j
			break
		}
	}
	c = p.idle[i]
	p.idle = slices.Delete(p.idle, i, i+1)
	return c, false, nil
}

// removeWaiter unregisters a waiter.
func (p *Pool) removeWaiter(w chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiters = slices.DeleteFunc(p.waiters, func(o chan struct{}) bool { return o == w })
}

// wakeWaiters makes all waiters try again; p.mu is held.
func (p *Pool) wakeWaiters() {
	for _, w := range p.waiters {
		select {
		case w <- struct{}{}:
		default:
		}
	}
}

// dial opens a connection that is already counted in p.open. Both results are nil
// if the member has no connections left and the caller is to wait.
func (p *Pool) dial(x context.Context, deadline time.Time) (*conn, *query.Failure) {
	if d := time.Now().Add(dialTimeout); d.Before(deadline) {
		deadline = d
	}
	y, stop := context.WithDeadline(x, deadline)
	defer stop()
	t := p.config.Now()
	k, at, err := p.openConn(y)
	if err == nil {
		p.recordReply(query.Reply{Position: at}, t)
		return &conn{Conn: k, prepared: map[string]bool{}}, nil
	}
	f := dialFailure(err)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	if f.Reason == query.TooManyConnections {
		p.noDialUntil = p.config.Now().Add(dialRetryDelay)
		time.AfterFunc(dialRetryDelay, p.endDialBackoff)
		if !p.closed {
			return nil, nil
		}
	}
	p.failures++
	p.wakeWaiters()
	return nil, f
}

// endDialBackoff makes waiters try again after dialRetryDelay has passed.
func (p *Pool) endDialBackoff() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wakeWaiters()
}

// dialFailure returns why a connection could not be opened.
func dialFailure(err error) *query.Failure {
	if f, ok := asFailure(err); ok {
		return f
	}
	return &query.Failure{Reason: query.Unreachable, Text: err.Error()}
}

// releaseConn returns a connection to the idle ones, or closes it if it is broken.
func (p *Pool) releaseConn(c *conn, broken bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if broken || p.closed {
		p.open--
		c.Close()
	} else {
		c.lastUsed = p.config.Now()
		p.idle = append(p.idle, c)
	}
	p.wakeWaiters()
}

// CloseIdle closes connections that have been idle for longer than idleTimeout.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 && p.config.Now().Sub(p.idle[0].lastUsed) > idleTimeout {
		p.idle[0].Close()
		p.idle = p.idle[1:]
		p.open--
	}
}

// Close closes idle connections now and others when they are released. New
// requests fail with query.Moved; open transactions continue.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.Close()
		p.open--
	}
	p.idle = nil
	p.wakeWaiters()
}

// Kill closes the pool and also the connections of open transactions.
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

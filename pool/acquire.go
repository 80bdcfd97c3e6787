package pool

import (
	"context"
	"time"

	"github.com/dragonflypick/dragonflypick/gate"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/teamconns"
)

// dialTimeout bounds opening a connection, which takes a member about 10 ms.
const dialTimeout = 1500 * time.Millisecond

// decision is what a request that waits for a connection is told: an action of
// teamconns.Set, or the failure with which it ends.
type decision struct {
	action  teamconns.Action
	failure *query.Failure
}

// place is a request's slot, which it gives to others while it waits for a connection.
type place struct {
	gate     *gate.Gate
	request  *query.Request
	deadline time.Time
	slot     gate.Slot
	held     bool
}

// giveUp releases the slot. The member has done no work for the request.
func (k *place) giveUp() {
	if k.held {
		k.held = false
		k.slot.ReleaseDeclined()
	}
}

// end releases the slot after a request with the reply o.
func (k *place) end(o query.Reply) {
	if o.Failure != nil && o.Failure.Reason.NotRun() {
		k.giveUp()
		return
	}
	k.slot.Release()
}

// take takes a slot again, without waiting, if it was given up.
func (k *place) take(x context.Context) *query.Failure {
	if k == nil || k.held {
		return nil
	}
	n, f := acquireSlot(x, k.gate, k.request, k.deadline, true)
	k.slot, k.held = n, f == nil
	return f
}

// acquireConn returns a connection of a team: an idle one, with the same session values
// if there is one, or a new one. It waits until deadline. k is the request's slot, nil
// if it has none.
func (p *Pool) acquireConn(x context.Context, team string, v []query.Value, deadline time.Time, k *place) (*conn, *query.Failure) {
	for {
		d := p.awaitDecision(x, team, v, deadline, k)
		if d.failure != nil {
			return nil, d.failure
		}
		f := k.take(x)
		switch a := d.action.(type) {
		case teamconns.Use:
			c := p.conn(a.Conn)
			if f != nil {
				p.releaseConn(c, false)
				return nil, f
			}
			return c, nil
		case teamconns.Open:
			if f != nil {
				p.cancelOpening(a.Conn)
				return nil, f
			}
			if c, f := p.dial(x, a, team, deadline); c != nil || f != nil {
				return c, f
			}
		}
	}
}

// acquireFor returns a connection for a request. A refusal of a write is trusted only if
// the connection hasn't answered with one before, whose copy it could be.
func (p *Pool) acquireFor(x context.Context, r *query.Request, deadline time.Time, k *place) (*conn, *query.Failure) {
	for {
		c, f := p.acquireConn(x, r.Team, r.Values, deadline, k)
		if f != nil || !c.answers.refused || !changesData(r) {
			return c, f
		}
		p.config.Metrics.closed.WithLabelValues(closedRefused).Inc()
		p.releaseConn(c, true)
	}
}

// awaitDecision waits for a connection to use, or for the permission to open one.
func (p *Pool) awaitDecision(x context.Context, team string, v []query.Value, deadline time.Time, k *place) decision {
	id, w := p.requestConn(team, v)
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	for {
		select {
		case d := <-w:
			if _, ok := d.action.(teamconns.Yield); !ok {
				return d
			}
			if k != nil {
				k.giveUp()
			}
		case <-t.C:
			return p.withdraw(id, w, &query.Failure{Reason: query.Overloaded, Text: "no connection was free in time"})
		case <-x.Done():
			return p.withdraw(id, w, &query.Failure{Reason: query.Aborted, Text: "the caller has left"})
		}
	}
}

// requestConn requests a connection. The channel receives the decisions.
func (p *Pool) requestConn(team string, v []query.Value) (uint64, <-chan decision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// A request is told to yield at most once before the decision.
	w := make(chan decision, 2)
	if p.closed {
		w <- decision{failure: movedFailure()}
		return 0, w
	}
	p.lastID++
	p.waiting[p.lastID] = w
	p.handle(teamconns.Requested{ID: p.lastID, Team: team, Values: valuesKey(v)})
	return p.lastID, w
}

func movedFailure() *query.Failure {
	return &query.Failure{Reason: query.Moved, Text: "the member is owned elsewhere"}
}

// withdraw ends the wait of a request with a failure. A connection that it was given
// meanwhile is released.
func (p *Pool) withdraw(id uint64, w <-chan decision, f *query.Failure) decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.waiting[id]; ok {
		delete(p.waiting, id)
		p.handle(teamconns.Withdrawn{ID: id})
		return decision{failure: f}
	}
	for len(w) > 0 {
		switch a := (<-w).action.(type) {
		case teamconns.Use:
			p.release(p.conns[a.Conn], false)
		case teamconns.Open:
			p.handle(teamconns.OpeningFailed{Conn: a.Conn})
		}
	}
	return decision{failure: f}
}

// handle passes an event to the set and takes the actions; p.mu is held.
func (p *Pool) handle(e teamconns.Event) {
	now := p.config.Now()
	for _, a := range p.set.Handle(e, now) {
		switch a := a.(type) {
		case teamconns.Use:
			p.decide(a.Request, a)
		case teamconns.Open:
			p.decide(a.Request, a)
		case teamconns.Yield:
			p.waiting[a.Request] <- decision{action: a}
		case teamconns.Close:
			p.conns[a.Conn].Close()
			delete(p.conns, a.Conn)
			p.countClosed(a.Reason)
		}
	}
	p.scheduleTick(now)
}

// decide tells a waiting request the decision; p.mu is held.
func (p *Pool) decide(id uint64, a teamconns.Action) {
	p.waiting[id] <- decision{action: a}
	delete(p.waiting, id)
}

// scheduleTick has the set handle a Ticked event when one is due; p.mu is held.
func (p *Pool) scheduleTick(now time.Time) {
	if p.ticker != nil {
		p.ticker.Stop()
		p.ticker = nil
	}
	if t, ok := p.set.NextTick(now); ok {
		p.ticker = time.AfterFunc(t.Sub(now), func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.handle(teamconns.Ticked{})
		})
	}
}

func (p *Pool) conn(id uint64) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns[id]
}

// dial opens a connection in a team's name. Both results are nil if the member has no
// connections left and the caller is to wait.
func (p *Pool) dial(x context.Context, o teamconns.Open, team string, deadline time.Time) (*conn, *query.Failure) {
	if d := time.Now().Add(dialTimeout); d.Before(deadline) {
		deadline = d
	}
	y, stop := context.WithDeadline(x, deadline)
	defer stop()
	t := p.config.Now()
	k, at, err := p.openConn(y, team)
	if err == nil {
		p.recordReply(query.Reply{Position: at}, t)
		return p.addConn(p.newConn(k, at, o.Conn, team), o.Reason, t), nil
	}
	f := dialFailure(err)
	full := f.Reason == query.TooManyConnections
	if closed := p.openingFailed(o.Conn, full); full && !closed {
		return nil, nil
	}
	return nil, f
}

// newConn returns the pooled form of a connection at whose opening the member reported at.
func (p *Pool) newConn(k Conn, at logpos.Position, id uint64, team string) *conn {
	a := &checkedConn{Conn: k, member: p.config.Member.ID, metrics: p.config.Metrics, log: p.config.Log, now: p.config.Now, id: id, usedAt: p.config.Now()}
	a.record.state, a.record.position = query.Idle, at
	return &conn{Conn: a, id: id, team: team, answers: &a.record}
}

// addConn adds a connection whose opening began at t.
func (p *Pool) addConn(c *conn, why teamconns.OpenReason, t time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c.id] = c
	p.countOpened(why)
	p.handle(teamconns.Opened{Conn: c.id, Took: p.config.Now().Sub(t)})
	return c
}

// cancelOpening takes note that a connection is not opened.
func (p *Pool) cancelOpening(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handle(teamconns.OpeningFailed{Conn: id})
}

// openingFailed takes note that a connection could not be opened, and reports whether
// the pool is closed. full is set if the member has no connections left.
func (p *Pool) openingFailed(id uint64, full bool) (closed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !full {
		p.failures++
	}
	p.config.Metrics.countOpeningFailed(full)
	p.handle(teamconns.OpeningFailed{Conn: id, Full: full})
	return p.closed
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
	p.release(c, broken)
}

// release is releaseConn; p.mu is held.
func (p *Pool) release(c *conn, broken bool) {
	closed := broken || p.closed
	c.endOnKill = false
	c.templates.trim()
	if closed {
		delete(p.conns, c.id)
		c.Close()
	}
	p.handle(teamconns.Released{Conn: c.id, Values: valuesKey(c.values), Closed: closed})
}

// CloseIdle closes connections that have been idle for longer than idleTimeout, or
// teamIdleTimeout.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Now()
	p.handle(teamconns.IdleExpired{Before: now.Add(-idleTimeout), TeamsBefore: now.Add(-teamIdleTimeout)})
	p.logExchanged(now)
}

// Close closes idle connections now and others when they are released. New
// requests fail with query.Moved; open transactions continue.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for id, w := range p.waiting {
		w <- decision{failure: movedFailure()}
		delete(p.waiting, id)
		p.handle(teamconns.Withdrawn{ID: id})
	}
	later := p.config.Now().Add(time.Hour)
	p.handle(teamconns.IdleExpired{Before: later, TeamsBefore: later})
}

// startWork registers a request that is about to run on a connection, so that Kill ends
// it, unless it is a read outside of transactions. It refuses the request if the pool has
// been killed.
func (p *Pool) startWork(c *conn, r *query.Request) *query.Failure {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.killed {
		return movedFailure()
	}
	c.endOnKill = r.Stage == query.First || r.Action != query.ActionRead
	return nil
}

// Kill closes the pool and ends all transactions and writes: those that are open or
// running, and those that start later. No reply of the member to them is read after it has
// returned. Running reads outside of transactions continue.
func (p *Pool) Kill() {
	p.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.killed = true
	n := 0
	for _, c := range p.conns {
		if c.endOnKill {
			c.Close()
			n++
		}
	}
	p.config.Log.Info("member connections ended", "member", p.config.Member.ID, "transactions", len(p.txs), "ended", n, "left", len(p.conns)-n)
}

// isKilled reports whether the pool has been killed.
func (p *Pool) isKilled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killed
}

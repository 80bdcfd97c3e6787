// Package pool holds the connections and the queue of one backend server at the
// daemon that owns it, and runs the steps of requests there.
package pool

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"

	"github.com/dragonflypick/dragonflypick/admit"
	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/query"
)

// Error is the class of all failures of this package.
var Error = errs.Class("pool")

// Limits of a pool.
const (
	// spareConnections are left for status checks and for another daemon that
	// takes the member over.
	spareConnections = 3
	// fullPause is how long no connection is opened after the member had none
	// left; it drops dead ones after 3 s.
	fullPause = 250 * time.Millisecond
	// idleTime closes a connection that nobody has used; members close theirs
	// after a minute.
	idleTime = 30 * time.Second
	// routineShare and backgroundShare are least parts of the slots, so that
	// lower ranks go on while urgent work floods.
	routineShare    = 0.1
	backgroundShare = 0.1
)

// Config holds a pool's settings.
type Config struct {
	Member catalog.Member
	// Connections is the greatest number of connections of all daemons.
	Connections int
	Dialer      Dialer
	// Observe is told the position in each reply, and when its step was sent.
	Observe func(p logpos.Position, sent time.Time)
	// Now reads the clock that goes on in a freeze.
	Now func() time.Time
	Log hclog.Logger
}

// Pool is one backend server as its owner sees it. It is safe for concurrent
// use.
type Pool struct {
	c Config

	mu sync.Mutex
	// idle holds free connections, last used last; open counts all.
	idle []*conn
	open int
	// full is until when no connection is opened.
	full time.Time
	// limit bounds open connections and counts open transactions.
	limit admit.Transactions
	queue *admit.Queue
	next  uint64
	// granted holds the requests that wait for a slot.
	granted map[uint64]chan admit.Action
	// waiters wait for a connection.
	waiters []*waiter
	txs     map[string]*tx
	closed  bool
	// failures counts connections that could not be opened since the last reply.
	failures int
	heard    time.Time
}

// waiter is a request that waits for a connection.
type waiter struct {
	rank bundle.Rank
	tx   bool
	// ready gets a token when it is worth looking again.
	ready chan struct{}
}

// tx is an open transaction.
type tx struct {
	mu   sync.Mutex
	c    *conn
	rank bundle.Rank
	// used is when the last statement ended.
	used time.Time
	// ended tells that the connection isn't the transaction's any more.
	ended bool
}

// New returns a pool without connections.
func New(c Config) *Pool {
	n := max(c.Connections-spareConnections, 1)
	q := admit.Config{Slots: c.Member.Slots}
	q.Shares[bundle.Routine], q.Shares[bundle.Background] = routineShare, backgroundShare
	return &Pool{
		c: c, queue: admit.New(q), granted: map[uint64]chan admit.Action{}, txs: map[string]*tx{},
		limit: admit.Transactions{Connections: n, Slots: min(c.Member.Slots, n-1)}, heard: c.Now(),
	}
}

// Wait predicts how long a new request waits for a slot.
func (p *Pool) Wait(r bundle.Rank) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Wait(r, "", time.Now())
}

// Health returns the number of connections that failed to open since the last
// reply, and when that was.
func (p *Pool) Health() (failures int, heard time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failures, p.heard
}

// Busy returns the number of open transactions and running requests.
func (p *Pool) Busy() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.txs) + p.queue.Running()
}

// Connections returns the number of open and of idle connections.
func (p *Pool) Connections() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, len(p.idle)
}

// Heard notes that the member answers.
func (p *Pool) Heard() { p.heardNow(query.Reply{}, time.Time{}) }

// heardNow notes a reply.
func (p *Pool) heardNow(o query.Reply, sent time.Time) {
	p.mu.Lock()
	p.heard, p.failures = p.c.Now(), 0
	p.mu.Unlock()
	if !o.Position.IsZero() {
		p.c.Observe(o.Position, sent)
	}
}

// do runs a step and notes its reply.
func (p *Pool) do(c *conn, s query.Step, deadline time.Time) (query.Reply, error) {
	t := p.c.Now()
	o, err := c.Do(s, deadline)
	if err == nil {
		p.heardNow(o, t)
	}
	return o, err
}

// slot waits for a slot and returns its number, or a refusal.
func (p *Pool) slot(x context.Context, r *query.Request, deadline time.Time, held bool) (uint64, *query.Failure) {
	p.mu.Lock()
	p.next++
	id := p.next
	w := make(chan admit.Action, 1)
	p.granted[id] = w
	p.act(p.queue.Handle(admit.Arrived{
		ID: id, Rank: r.Rank, Caller: r.Session, Deadline: deadline, Held: held, Jitter: rand.Float64(),
	}, time.Now()))
	p.mu.Unlock()
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	var a admit.Action
	select {
	case a = <-w:
	case <-t.C:
	case <-x.Done():
	}
	if a == nil {
		if a = p.withdraw(id, w); a == nil {
			return 0, &query.Failure{Reason: query.Overloaded, Text: string(admit.Expired)}
		}
	}
	switch a := a.(type) {
	case admit.Start:
		return id, nil
	case admit.Refuse:
		return 0, &query.Failure{Reason: query.Overloaded, Text: string(a.Reason), RetryAfter: a.RetryAfter}
	default:
		panic("pool: unknown action")
	}
}

// withdraw takes a waiting request back, unless it was decided meanwhile.
func (p *Pool) withdraw(id uint64, w chan admit.Action) admit.Action {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case a := <-w:
		return a
	default:
	}
	delete(p.granted, id)
	p.act(p.queue.Handle(admit.Withdrawn{ID: id}, time.Now()))
	return nil
}

// act carries out the queue's actions; p.mu is held.
func (p *Pool) act(l []admit.Action) {
	for _, a := range l {
		var id uint64
		switch a := a.(type) {
		case admit.Start:
			id = a.ID
		case admit.Refuse:
			id = a.ID
		}
		if w := p.granted[id]; w != nil {
			delete(p.granted, id)
			w <- a
		}
	}
}

// free gives a slot back.
func (p *Pool) free(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.act(p.queue.Handle(admit.Finished{ID: id}, time.Now()))
}

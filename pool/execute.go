package pool

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/dragonflypick/dragonflypick/admission"
	"github.com/dragonflypick/dragonflypick/gate"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/teamconns"
)

// Guard is called immediately before a step is sent to a member. It returns nil
// if the step may be sent.
type Guard func() *query.Failure

// Execute runs a request. floor is the position that a replica must have reached.
func (p *Pool) Execute(x context.Context, r *query.Request, floor logpos.Position, g Guard) query.Reply {
	d := time.Now().Add(r.Remaining)
	switch r.Stage {
	case query.Later:
		return p.continueTx(x, r, d, g)
	case query.Abandon:
		return p.abandonTx(r)
	default:
		return p.executeCounted(r, func() query.Reply { return p.runSingleOrFirst(x, r, floor, d, g) })
	}
}

// runSingleOrFirst runs a single statement or the first one of a transaction.
func (p *Pool) runSingleOrFirst(x context.Context, r *query.Request, floor logpos.Position, d time.Time, g Guard) query.Reply {
	if r.Stage != query.First {
		return p.runSingle(x, r, floor, d, g)
	}
	n, f := acquireSlot(x, p.transactions, r, d, false)
	if f != nil {
		return query.Reply{Failure: f, State: query.Idle}
	}
	o, c := p.runOutsideTx(x, r, floor, d, g)
	if c != nil && o.State == query.Open && o.Failure == nil && p.keepTx(r, c, n) {
		return o
	}
	n.ReleaseDeclined()
	if c != nil {
		p.releaseConn(c, o.State != query.Idle && !p.rollBack(c, ""))
	}
	if o.State == query.Open {
		o.State = query.Failed
		if o.Failure == nil {
			o.Failure = &query.Failure{Reason: query.Aborted, Text: "the transaction was given up"}
		}
	}
	return o
}

// acquireSlot waits for a slot. inTransaction is set for requests of open
// transactions, which don't wait.
func acquireSlot(x context.Context, g *gate.Gate, r *query.Request, d time.Time, inTransaction bool) (gate.Slot, *query.Failure) {
	k, err := g.Acquire(x, admission.Arrived{
		Rank: r.Rank, Caller: r.Session, Team: r.Team, Deadline: d, InTransaction: inTransaction, Elsewhere: !r.Primary && r.Stage != query.Later,
	})
	var e *gate.RefusedError
	switch {
	case err == nil:
		return k, nil
	case errors.As(err, &e):
		return k, &query.Failure{Reason: query.Overloaded, Text: e.Error(), RetryAfter: e.RetryAfter}
	default:
		return k, &query.Failure{Reason: query.Overloaded, Text: err.Error()}
	}
}

// runSingle runs a statement outside of transactions.
func (p *Pool) runSingle(x context.Context, r *query.Request, floor logpos.Position, d time.Time, g Guard) query.Reply {
	o, c := p.runOutsideTx(x, r, floor, d, g)
	if c != nil {
		p.releaseConn(c, o.State != query.Idle)
	}
	return o
}

// maxUnsent is on how many connections a request is tried that turn out to be unusable
// before anything was sent.
const maxUnsent = 4

// runOutsideTx runs a request on a connection without an open transaction. It
// returns the connection, or nil if the connection broke or none was available.
func (p *Pool) runOutsideTx(x context.Context, r *query.Request, floor logpos.Position, d time.Time, g Guard) (query.Reply, *conn) {
	n, f := acquireSlot(x, p.slots, r, d, false)
	if f != nil {
		return query.Reply{Failure: f, State: query.Idle}, nil
	}
	k := &place{gate: p.slots, request: r, deadline: d, slot: n, held: true}
	for tried := 1; ; tried++ {
		c, f := p.acquireFor(x, r, d, k)
		if f != nil {
			k.giveUp()
			return query.Reply{Failure: f, State: query.Idle}, nil
		}
		if f := p.startWork(c, r); f != nil {
			k.giveUp()
			p.releaseConn(c, false)
			return query.Reply{Failure: f, State: query.Idle}, nil
		}
		o, u := p.runTimed(k, c, r, floor, d, g)
		if u == connUnsent && tried < maxUnsent {
			p.releaseConn(c, true)
			continue
		}
		k.end(o)
		if u == connUsable {
			return o, c
		}
		p.releaseConn(c, true)
		return o, nil
	}
}

// runTimed runs a request on a connection and reports how long it took.
func (p *Pool) runTimed(k *place, c *conn, r *query.Request, floor logpos.Position, d time.Time, g Guard) (query.Reply, connUse) {
	t := p.config.Now()
	c.roundTrip = 0
	stop := p.cutOverdueRead(k.slot, c, r)
	o, u := p.runOn(c, r, floor, d, g)
	stop()
	if held := p.config.Now().Sub(t); o.Failure == nil {
		p.limit.observe(held, c.took, c.roundTrip)
	}
	return o, u
}

// cutOverdueRead closes the connection of a read whose answer is probably lost, so that
// the caller needn't wait until its deadline to have it run again. Other work may have
// taken effect, and waits on. The returned function ends this.
func (p *Pool) cutOverdueRead(n gate.Slot, c *conn, r *query.Request) (stop func()) {
	if r.Action != query.ActionRead {
		return func() {}
	}
	var mu sync.Mutex
	ended := false
	cancel := n.OnOverdue(func() {
		mu.Lock()
		defer mu.Unlock()
		if !ended {
			p.config.Metrics.overdueReads.Inc()
			p.config.Log.Info("overdue read cut", "member", p.config.Member.ID, "id", r.ID, "transaction", r.Transaction)
			c.Close()
		}
	})
	return func() {
		cancel()
		mu.Lock()
		defer mu.Unlock()
		ended = true
	}
}

// runOn runs a request on a connection.
func (p *Pool) runOn(c *conn, r *query.Request, floor logpos.Position, d time.Time, g Guard) (query.Reply, connUse) {
	if f := g(); f != nil {
		return query.Reply{Failure: f, State: query.Idle}, connUsable
	}
	if o, err := c.setUpSession(r, d); err != nil || o.Failure != nil {
		if isUnsent(err) || asAnswerError(err) != nil {
			return setUpFailedReply(o, err), connUnsent
		}
		return setUpFailedReply(o, err), connBroken
	}
	// Setting the session up may have taken round trips.
	if f := g(); f != nil {
		return query.Reply{Failure: f, State: query.Idle}, connUsable
	}
	if r.Stage == query.First {
		o, err := p.runStep(c, query.BeginTransaction{ID: r.BeginID, ReadOnly: r.ReadOnly, Floor: floor}, d)
		if err != nil {
			return failedReply(c, r, err)
		}
		if o.Failure != nil {
			return o, connUsable
		}
		if o, err = p.runRequestStep(c, r, logpos.Position{}, d); err != nil {
			return lostFirstReply(r, err), connBroken
		}
		return o, connUsable
	}
	o, err := p.runRequestStep(c, r, floor, d)
	if err != nil {
		return failedReply(c, r, err)
	}
	return o, connUsable
}

// requestStep returns the step that runs a request's statement or commit on the
// connection, where its template is prepared.
func (c *conn) requestStep(r *query.Request, floor logpos.Position) query.Step {
	if r.Action == query.ActionCommit {
		return query.EndTransaction{ID: r.ID, Commit: true}
	}
	s := query.RunStatement{ID: r.ID, Text: r.Text, Floor: floor}
	if r.Template != nil {
		s.Prepared, _ = c.templates.name(*r.Template)
	}
	return s
}

// keepTx registers an open transaction with its connection. It returns false if
// the transaction was abandoned, or the pool killed, before its first statement had ended.
func (p *Pool) keepTx(r *query.Request, c *conn, ticket gate.Slot) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.abandoned[r.Transaction]; ok || p.killed {
		p.config.Log.Info("transaction not kept", "member", p.config.Member.ID, "id", r.ID, "transaction", r.Transaction, "abandoned", ok, "killed", p.killed)
		return false
	}
	p.handle(teamconns.Kept{Conn: c.id})
	p.txs[r.Transaction] = &tx{c: c, slot: ticket, lastUsed: time.Now()}
	return true
}

// continueTx runs a further statement of an open transaction, or its commit.
func (p *Pool) continueTx(x context.Context, r *query.Request, d time.Time, g Guard) query.Reply {
	p.mu.Lock()
	t := p.txs[r.Transaction]
	p.mu.Unlock()
	if t == nil {
		return query.Refusal(query.Aborted, "the transaction is not open here")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return query.Refusal(query.Aborted, "the transaction has ended")
	}
	if p.isKilled() {
		p.endTx(r.Transaction, t, false, true)
		return query.Reply{Failure: &query.Failure{Reason: query.Aborted, Text: "the transaction was rolled back, since its member may not be used any more"}, State: query.Failed}
	}
	o, broken := p.runInTx(x, t.c, r, d, g)
	t.lastUsed = time.Now()
	if o.State != query.Open || broken || r.Action == query.ActionCommit {
		p.endTx(r.Transaction, t, o.State != query.Idle && !broken, broken)
	}
	return o
}

// runInTx runs a request on the connection of its transaction and reports whether
// the connection broke.
func (p *Pool) runInTx(x context.Context, c *conn, r *query.Request, d time.Time, g Guard) (query.Reply, bool) {
	n, f := acquireSlot(x, p.slots, r, d, true)
	if f != nil {
		return query.Reply{Failure: f, State: query.Failed}, false
	}
	defer n.Release()
	defer p.cutOverdueRead(n, c, r)()
	if f := g(); f != nil {
		return query.Reply{Failure: f, State: query.Failed}, false
	}
	if o, err := c.setUpSession(r, d); err != nil || o.Failure != nil {
		return lostTxReply(err), true
	}
	o, err := p.runRequestStep(c, r, logpos.Position{}, d)
	switch {
	case err == nil:
		return o, false
	case r.Action == query.ActionCommit && !isUnsent(err):
		return lostReply(r, err), true
	default:
		return lostTxReply(err), true
	}
}

// endTx removes a transaction and releases its connection, after a rollback if
// rollBack is set; t.mu is held.
func (p *Pool) endTx(name string, t *tx, rollBack, broken bool) {
	t.ended = true
	if rollBack {
		broken = !p.rollBack(t.c, "")
	}
	p.mu.Lock()
	delete(p.txs, name)
	p.mu.Unlock()
	t.slot.Release()
	p.releaseConn(t.c, broken)
}

// abandonTx rolls back a transaction. If it isn't open, it is recorded, so that
// keepTx doesn't register it later.
func (p *Pool) abandonTx(r *query.Request) query.Reply {
	p.mu.Lock()
	t := p.txs[r.Transaction]
	if t == nil {
		p.abandoned[r.Transaction] = time.Now()
	}
	p.mu.Unlock()
	if t == nil {
		return query.Reply{State: query.Idle}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.ended {
		p.endTx(r.Transaction, t, true, false)
	}
	return query.Reply{State: query.Idle}
}

// abandonedTTL is how long Pool.abandoned keeps a transaction. It is longer than
// any request waits.
const abandonedTTL = 20 * time.Second

// rollBackTimeout bounds a rollback, which doesn't wait for a slot.
const rollBackTimeout = time.Second

// rollBack rolls back the transaction on a connection and reports whether the
// connection can be reused.
func (p *Pool) rollBack(c *conn, id string) bool {
	o, err := p.runStep(c, query.EndTransaction{ID: id}, time.Now().Add(rollBackTimeout))
	return err == nil && o.Failure == nil && o.State == query.Idle
}

// Probe runs a step without waiting for a slot, on an idle connection or a new
// one.
func (p *Pool) Probe(x context.Context, s query.Step, d time.Duration) (query.Reply, error) {
	t := time.Now().Add(d)
	for tried := 1; ; tried++ {
		c, f := p.acquireConn(x, "", nil, t, nil)
		if f != nil {
			return query.Reply{}, f
		}
		o, err := p.probe(c, s, t)
		broken := err != nil
		if _, ok := s.(query.ResetSession); ok && !broken {
			broken = p.recordReset(c, o)
		}
		p.releaseConn(c, broken)
		if !isUnsent(err) || tried == maxUnsent {
			return o, err
		}
	}
}

// probe runs a step on a connection, whose session is reset first if need be.
func (p *Pool) probe(c *conn, s query.Step, deadline time.Time) (query.Reply, error) {
	if _, ok := s.(query.ResetSession); c.doubted && !ok {
		if o, err := c.reset(deadline); err != nil || o.Failure != nil {
			return o, err
		}
	}
	return p.runStep(c, s, deadline)
}

// recordReset records the member's reply to the reset of a session, and reports whether the
// connection is unusable: after a refusal it is unknown what the session still holds.
func (p *Pool) recordReset(c *conn, o query.Reply) (broken bool) {
	c.markReset()
	if o.Failure == nil {
		return false
	}
	p.config.Log.Warn("connection closed, since its reset was refused", "member", p.config.Member.ID, "conn", c.id, "reason", string(o.Failure.Reason))
	return true
}

// HasTransaction reports whether a transaction is open in this pool.
func (p *Pool) HasTransaction(transaction string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.txs[transaction] != nil
}

// EndIdleTransactions rolls back transactions that have been idle for longer than
// d. It also deletes the records of abandoned ones after abandonedTTL.
func (p *Pool) EndIdleTransactions(d time.Duration) {
	p.mu.Lock()
	for n, t := range p.abandoned {
		if time.Since(t) > abandonedTTL {
			delete(p.abandoned, n)
		}
	}
	var l []string
	for s, t := range p.txs {
		if t.mu.TryLock() {
			if time.Since(t.lastUsed) > d {
				l = append(l, s)
			}
			t.mu.Unlock()
		}
	}
	p.mu.Unlock()
	for _, s := range l {
		p.config.Log.Info("idle transaction rolled back", "member", p.config.Member.ID, "transaction", s)
		p.abandonTx(&query.Request{Transaction: s})
	}
}

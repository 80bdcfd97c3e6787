package owner

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/backend"
	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/gate"
	"github.com/dragonflypick/dragonflypick/outcome"
	"github.com/dragonflypick/dragonflypick/peer"
	"github.com/dragonflypick/dragonflypick/statement"
	"github.com/dragonflypick/dragonflypick/wire"
)

// cancelGrace is how long a canceled statement may take to end before its
// connection is closed.
const cancelGrace = 500 * time.Millisecond

// exchange relays messages between the stream from the entry and a connection to
// the backend server until the transaction ends.
type exchange struct {
	task *task
	conn *backend.Conn
	// idleTimeout is the maximum time between an answer and the next message
	// inside an open transaction.
	idleTimeout time.Duration

	// writeMu is held during writes to the connection.
	writeMu sync.Mutex

	mu     sync.Mutex
	ticket gate.Slot
	// needsSlot is set after an answer inside a transaction: the next message
	// must acquire a slot.
	needsSlot bool
	// holdsSlot is set while ticket is held.
	holdsSlot bool
	// canceled is set if a cancel request was sent. The connection must not be
	// reused then, as the request could cancel a later statement.
	canceled bool
	// connReturned is set once the connection has been returned to the pool; it
	// must not be used after that.
	connReturned bool
	// tx decides the outcome of the transaction.
	tx *outcome.Transaction
	// timer cancels the running statement at its deadline.
	timer *time.Timer

	// key is the request's idempotency key; nil if it has none.
	key *idempotencyKey
	// pendingComplete holds back the last CommandComplete until the next message
	// of the answer, because the verdict on a write precedes it.
	pendingComplete []wire.Message
	// term is the group's term when the exchange started.
	term uint64
	// lastActivity is when a message was last read from or written to the
	// connection, in nanoseconds since startedAt.
	lastActivity atomic.Int64
	startedAt    time.Time
}

// run relays messages until the transaction ends, and returns the verdict that
// the caller must still send; it is empty if there is none.
func (e *exchange) run(x context.Context) peer.Verdict {
	e.startedAt, e.term = time.Now(), e.task.monitor.View().Term
	e.tx = outcome.New(e.key != nil)
	x, stop := context.WithCancel(x)
	defer stop()
	// Also after a panic, which ends only this stream.
	defer e.releaseConnection(true)
	e.setDeadline(x, e.task.deadline)
	unhook := context.AfterFunc(x, e.abortConnection)
	g := &errgroup.Group{}
	g.Go(func() error {
		e.watchConnection(x)
		return nil
	})
	v, over := e.beginKeyed()
	if !over {
		g.Go(func() error {
			defer stop()
			return e.forwardToServer(x)
		})
		v = e.relayToEntry()
	}
	unhook()
	e.releaseConnection(v.Outcome != "")
	stop()
	_ = e.task.stream.SetReadDeadline(time.Unix(1, 0))
	_ = g.Wait()
	if v.Outcome == answerSent {
		return peer.Verdict{}
	}
	return v
}

// beginKeyed writes the idempotency key of a single statement, if it has one. It
// returns true if the statement must not be run.
func (e *exchange) beginKeyed() (peer.Verdict, bool) {
	if e.key == nil || e.task.header.Kind != peer.KindWrite {
		return peer.Verdict{}, false
	}
	return e.key.beginTransaction()
}

// setDeadline bounds the time for the next answer: at the deadline the statement
// is canceled, and after cancelGrace reading from the connection fails.
func (e *exchange) setDeadline(x context.Context, d time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.connReturned || x.Err() != nil {
		return
	}
	_ = e.conn.SetReadDeadline(d.Add(cancelGrace))
	e.timer = time.AfterFunc(time.Until(d), func() { e.cancelStatement(x) })
}

// cancelStatement requests that the backend server cancel the running statement.
func (e *exchange) cancelStatement(x context.Context) {
	e.mu.Lock()
	skip := e.connReturned || !e.holdsSlot
	e.canceled = e.canceled || !skip
	e.mu.Unlock()
	if !skip {
		_ = e.conn.Cancel(x)
	}
}

// abortConnection makes pending reads and writes of the connection fail at once.
func (e *exchange) abortConnection() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.connReturned {
		_ = e.conn.SetDeadline(time.Unix(1, 0))
	}
}

// releaseConnection frees the slot and returns the connection to the pool, if they
// are still held. The connection is not reused if broken is set or a cancel was
// sent.
func (e *exchange) releaseConnection(broken bool) {
	e.freeSlot()
	if broken {
		e.abortConnection()
	}
	e.writeMu.Lock()
	defer e.writeMu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.connReturned {
		return
	}
	e.connReturned = true
	_ = e.conn.SetDeadline(time.Time{})
	e.task.server.pool.Put(e.conn, broken || e.canceled)
}

// freeSlot stops the deadline timer and frees the slot, if it is held.
func (e *exchange) freeSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.timer != nil {
		e.timer.Stop()
	}
	if e.holdsSlot {
		e.holdsSlot = false
		e.ticket.Release()
	}
}

// forwardToServer sends the entry's messages to the backend server.
func (e *exchange) forwardToServer(x context.Context) error {
	for {
		m, err := e.task.stream.Read()
		if err != nil {
			return err
		}
		if m.Type == peer.TypeCancel {
			e.cancelStatement(x)
			continue
		}
		if err := e.reacquireSlot(x); err != nil {
			return err
		}
		e.detectCommit(m)
		if err := e.writeToServer(m); err != nil {
			return err
		}
	}
}

// writeToServer sends one message to the backend server. It fails if the
// connection has been returned to the pool.
func (e *exchange) writeToServer(m wire.Message) error {
	e.writeMu.Lock()
	defer e.writeMu.Unlock()
	e.mu.Lock()
	r := e.connReturned
	e.mu.Unlock()
	if r {
		return Error.Wrap(net.ErrClosed)
	}
	e.recordActivity()
	if err := e.conn.Writer.Write(m); err != nil {
		return Error.Wrap(err)
	}
	if m.Type != wire.Sync && m.Type != wire.Query && m.Type != wire.Flush && e.task.stream.Buffered() > 0 {
		return nil
	}
	return Error.Wrap(e.conn.Writer.Flush())
}

// reacquireSlot acquires a slot for the first message after an answer, with a new
// deadline.
func (e *exchange) reacquireSlot(x context.Context) error {
	e.mu.Lock()
	first := e.needsSlot
	e.needsSlot = false
	e.mu.Unlock()
	if !first {
		return nil
	}
	_ = e.task.stream.SetReadDeadline(time.Time{})
	b := e.task.owner.config.Bundle()
	e.task.deadline = time.Now().Add(time.Duration(b.Ranks.Of(bundle.Rank(e.task.header.Rank)).Deadline))
	a := e.task.arrival()
	a.InTransaction = true
	k, err := e.task.server.acquireSlot(x, a)
	if err != nil {
		return err
	}
	if !e.holdTicket(k) {
		return Error.Wrap(net.ErrClosed)
	}
	e.setDeadline(x, e.task.deadline)
	return nil
}

// holdTicket stores the ticket for the next answer. If the exchange has ended it
// frees the ticket and returns false.
func (e *exchange) holdTicket(k gate.Slot) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.connReturned {
		k.Release()
		return false
	}
	e.ticket, e.holdsSlot = k, true
	return true
}

// startIdle makes the next message need a slot and sets idleTimeout for its
// arrival. It is called when an answer inside a transaction has ended, before
// the end of the answer is sent, so that needsSlot is set when that message
// arrives.
func (e *exchange) startIdle() {
	_ = e.task.stream.SetReadDeadline(time.Now().Add(e.idleTimeout))
	e.mu.Lock()
	defer e.mu.Unlock()
	e.needsSlot = true
}

// detectCommit notifies tx if the message contains a statement that may commit.
func (e *exchange) detectCommit(m wire.Message) {
	switch e.task.header.Kind {
	case peer.KindRead:
		return
	case peer.KindWrite:
		if e.key == nil {
			e.handleEvent(outcome.Forwarded{MayCommit: true})
		}
		return
	}
	q := ""
	switch m.Type {
	case wire.Query:
		q = wire.CString(m.Body)
	case wire.Parse:
		q = wire.CString(m.Body[min(len(wire.CString(m.Body))+1, len(m.Body)):])
	default:
		return
	}
	if k := statement.Classify(q); k.Kind == statement.End || k.Count > 1 {
		e.handleEvent(outcome.Forwarded{MayCommit: true})
	}
}

// handleEvent passes an event to tx and returns its actions.
func (e *exchange) handleEvent(v outcome.Event) []outcome.Action {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tx.Handle(v)
}

// recordActivity records the time of a message read from or written to the
// connection.
func (e *exchange) recordActivity() { e.lastActivity.Store(int64(time.Since(e.startedAt))) }

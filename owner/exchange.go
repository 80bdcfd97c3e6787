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
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/peer"
	"github.com/dragonflypick/dragonflypick/statement"
	"github.com/dragonflypick/dragonflypick/wire"
	"github.com/dragonflypick/dragonflypick/write"
)

// cancelGrace is how long a cancelled statement may take to end.
const cancelGrace = 500 * time.Millisecond

// exchange moves messages between a stream and a connection until the
// transaction ends.
type exchange struct {
	task *task
	conn *backend.Conn
	// idleTimeout is the longest pause inside an open transaction.
	idleTimeout time.Duration

	// writeMu is held while the connection is written to.
	writeMu sync.Mutex

	mu     sync.Mutex
	ticket gate.Ticket
	// needsSlot tells that an answer has ended and the next message takes a slot.
	needsSlot bool
	// holdsSlot tells that the ticket is held.
	holdsSlot bool
	// cancelled tells that a cancel request was sent, so that the connection
	// must not serve another statement.
	cancelled bool
	// connReturned tells that the connection went back to the pool; it must not be
	// touched then.
	connReturned bool
	// tx decides on the outcome.
	tx    *write.Transaction
	timer *time.Timer

	// key is the use of an idempotency key; nil without one.
	key *idempotencyKey
	// pendingComplete holds the last CommandComplete.
	pendingComplete []wire.Message
	// term is the group's term when the exchange began.
	term uint64
	// lastActivity is when the connection last gave a message, or was last sent one
	// after that; nanoseconds since the exchange's begin.
	lastActivity atomic.Int64
	startedAt    time.Time
}

// run moves messages until the transaction ends, and returns a verdict that is
// still to be sent, or none.
func (e *exchange) run(x context.Context) peer.Verdict {
	e.startedAt, e.term = time.Now(), e.task.monitor.View().Term
	e.tx = write.New(e.key != nil)
	x, stop := context.WithCancel(x)
	defer stop()
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
			return e.forward(x)
		})
		v = e.relayAnswer()
	}
	unhook()
	e.release(v.Outcome != "")
	stop()
	_ = e.task.stream.SetReadDeadline(time.Unix(1, 0))
	_ = g.Wait()
	if v.Outcome == answerSent {
		return peer.Verdict{}
	}
	return v
}

// beginKeyed writes the key of a single statement. It reports whether the statement
// is not to be run.
func (e *exchange) beginKeyed() (peer.Verdict, bool) {
	if e.key == nil || e.task.header.Kind != peer.KindWrite {
		return peer.Verdict{}, false
	}
	return e.key.begin()
}

// setDeadline bounds the next answer: the statement is cancelled at its deadline, and
// the connection given up soon after.
func (e *exchange) setDeadline(x context.Context, d time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.connReturned || x.Err() != nil {
		return
	}
	_ = e.conn.SetReadDeadline(d.Add(cancelGrace))
	e.timer = time.AfterFunc(time.Until(d), func() { e.cancel(x) })
}

// cancel asks the backend server to end the running statement.
func (e *exchange) cancel(x context.Context) {
	e.mu.Lock()
	skip := e.connReturned || !e.holdsSlot
	e.cancelled = e.cancelled || !skip
	e.mu.Unlock()
	if !skip {
		_ = e.conn.Cancel(x)
	}
}

// abortConnection ends the reading of the answer at once.
func (e *exchange) abortConnection() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.connReturned {
		_ = e.conn.SetDeadline(time.Unix(1, 0))
	}
}

// release gives back the slot and the connection, if they are still held.
func (e *exchange) release(broken bool) {
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
	e.task.server.pool.Put(e.conn, broken || e.cancelled)
}

// freeSlot gives back the slot.
func (e *exchange) freeSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.timer != nil {
		e.timer.Stop()
	}
	if e.holdsSlot {
		e.holdsSlot = false
		e.ticket.Free()
	}
}

// forward sends the entry's messages to the backend server.
func (e *exchange) forward(x context.Context) error {
	for {
		m, err := e.task.stream.Read()
		if err != nil {
			return err
		}
		if m.Type == peer.TypeCancel {
			e.cancel(x)
			continue
		}
		if err := e.reacquireSlot(x); err != nil {
			return err
		}
		e.detectCommit(m)
		if err := e.write(m); err != nil {
			return err
		}
	}
}

// write sends one message to the backend server, unless the connection went
// back to the pool.
func (e *exchange) write(m wire.Message) error {
	e.writeMu.Lock()
	defer e.writeMu.Unlock()
	e.mu.Lock()
	r := e.connReturned
	e.mu.Unlock()
	if r {
		return Error.Wrap(net.ErrClosed)
	}
	e.recordActivity()
	if err := e.conn.W.Write(m); err != nil {
		return Error.Wrap(err)
	}
	if m.Type != wire.Sync && m.Type != wire.Query && m.Type != wire.Flush && e.task.stream.Buffered() > 0 {
		return nil
	}
	return Error.Wrap(e.conn.W.Flush())
}

// reacquireSlot takes a slot again for the first message after an answer.
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
	a.Held = true
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

// holdTicket holds a ticket for the next answer; it frees the ticket if the exchange
// has ended.
func (e *exchange) holdTicket(k gate.Ticket) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.connReturned {
		k.Free()
		return false
	}
	e.ticket, e.holdsSlot = k, true
	return true
}

// awaitNextRequest notes that an answer has ended inside a transaction. It comes before the
// answer's end is sent, so that the next message finds it.
func (e *exchange) awaitNextRequest() {
	_ = e.task.stream.SetReadDeadline(time.Now().Add(e.idleTimeout))
	e.mu.Lock()
	defer e.mu.Unlock()
	e.needsSlot = true
}

// detectCommit looks for statements that may commit.
func (e *exchange) detectCommit(m wire.Message) {
	switch e.task.header.Kind {
	case peer.KindRead:
		return
	case peer.KindWrite:
		if e.key == nil {
			e.handle(write.Forwarded{Commits: true})
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
		e.handle(write.Forwarded{Commits: true})
	}
}

// handle tells the transaction's core of an event.
func (e *exchange) handle(v write.Event) []write.Action {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tx.Handle(v)
}

// recordActivity notes that the connection gave or was sent a message.
func (e *exchange) recordActivity() { e.lastActivity.Store(int64(time.Since(e.startedAt))) }

// relayAnswer sends the backend server's messages to the entry until the
// transaction has ended.
func (e *exchange) relayAnswer() peer.Verdict {
	for {
		m, err := e.conn.R.Read()
		if err != nil {
			return e.connectionLost(err)
		}
		e.recordActivity()
		switch m.Type {
		case wire.ParameterStatus:
			e.handleParameter(m)
		case wire.CommandComplete:
			err = e.send(e.pendingComplete...)
			e.pendingComplete = []wire.Message{m}
		case wire.ReadyForQuery:
			if done, v := e.finishAnswer(m); done {
				return v
			}
		default:
			if e.key != nil {
				e.key.observe(m)
			}
			err = e.send(append(e.pendingComplete, m)...)
			e.pendingComplete = nil
		}
		if err != nil {
			return peer.Verdict{Outcome: peer.NotRun, Reason: "entry-gone"}
		}
	}
}

func (e *exchange) send(m ...wire.Message) error {
	if len(m) == 0 {
		return nil
	}
	if err := e.task.stream.Write(m...); err != nil {
		return err
	}
	if e.conn.R.Buffered() > 0 {
		return nil
	}
	return e.task.stream.Flush()
}

func (e *exchange) handleParameter(m wire.Message) {
	n := wire.CString(m.Body)
	if n != backend.PositionParameter {
		return
	}
	p, err := logpos.Parse(wire.CString(m.Body[len(n)+1:]))
	if err != nil {
		e.task.owner.config.Log.Error("member reports no position", "member", e.task.header.Member, "error", err)
		return
	}
	e.handle(write.Committed{Position: p})
}

// finishAnswer ends one answer. It reports whether the transaction is over.
func (e *exchange) finishAnswer(m wire.Message) (bool, peer.Verdict) {
	if e.key != nil {
		var v peer.Verdict
		if m, v = e.key.finishAnswer(m); v.Outcome != "" {
			return true, v
		}
	}
	over := len(m.Body) == 1 && m.Body[0] == 'I'
	deadline := e.task.deadline
	if over {
		e.release(false)
	} else {
		e.freeSlot()
		_ = e.conn.SetReadDeadline(time.Time{})
	}
	if v := e.perform(e.handle(write.Answered{}), deadline); v.Outcome == peer.Done && !v.Position.IsZero() {
		if e.task.stream.WriteVerdict(v) != nil {
			return true, peer.Verdict{Outcome: peer.InDoubt, Reason: "entry-gone"}
		}
		e.mu.Lock()
		e.tx = write.New(e.key != nil)
		e.mu.Unlock()
	} else if v.Outcome != peer.Done && v.Outcome != "" {
		return true, v
	}
	if !over {
		e.awaitNextRequest()
	}
	if e.task.stream.Write(append(e.pendingComplete, m)...) != nil || e.task.stream.Flush() != nil {
		return true, peer.Verdict{Outcome: peer.NotRun, Reason: "entry-gone"}
	}
	e.pendingComplete = nil
	return over, peer.Verdict{}
}

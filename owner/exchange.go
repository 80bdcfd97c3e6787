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
	"github.com/dragonflypick/dragonflypick/outcome"
	"github.com/dragonflypick/dragonflypick/peer"
	"github.com/dragonflypick/dragonflypick/statement"
	"github.com/dragonflypick/dragonflypick/wire"
)

// cancelGrace is how long a cancelled statement may take to end.
const cancelGrace = 500 * time.Millisecond

// exchange moves messages between a stream and a connection until the
// transaction ends.
type exchange struct {
	t *task
	c *backend.Conn
	// idle is the longest pause inside an open transaction.
	idle time.Duration

	// out is held while the connection is written to.
	out sync.Mutex

	mu sync.Mutex
	k  gate.Ticket
	// paused tells that an answer has ended and the next message takes a slot.
	paused bool
	// holds tells that the ticket is held.
	holds bool
	// cancelled tells that a cancel request was sent, so that the connection
	// must not serve another statement.
	cancelled bool
	// returned tells that the connection went back to the pool; it must not be
	// touched then.
	returned bool
	// tx decides on the outcome.
	tx    *outcome.Transaction
	timer *time.Timer

	// key is the use of an idempotency key; nil without one.
	key *key
	// tail holds the last CommandComplete.
	tail []wire.Message
	// term is the group's term when the exchange began.
	term uint64
	// heard is when the connection last gave a message, or was last sent one
	// after that; nanoseconds since the exchange's begin.
	heard atomic.Int64
	began time.Time
}

// run moves messages until the transaction ends, and returns a verdict that is
// still to be sent, or none.
func (e *exchange) run(x context.Context) peer.Verdict {
	e.began, e.term = time.Now(), e.t.m.View().Term
	e.tx = outcome.New(e.key != nil)
	x, stop := context.WithCancel(x)
	defer stop()
	e.arm(x, e.t.deadline)
	unhook := context.AfterFunc(x, e.cut)
	g := &errgroup.Group{}
	g.Go(func() error {
		e.watch(x)
		return nil
	})
	v, over := e.open()
	if !over {
		g.Go(func() error {
			defer stop()
			return e.forward(x)
		})
		v = e.answer()
	}
	unhook()
	e.release(v.Outcome != "")
	stop()
	_ = e.t.s.SetReadDeadline(time.Unix(1, 0))
	_ = g.Wait()
	if v.Outcome == answeredHere {
		return peer.Verdict{}
	}
	return v
}

// open writes the key of a single statement. It reports whether the statement
// is not to be run.
func (e *exchange) open() (peer.Verdict, bool) {
	if e.key == nil || e.t.h.Kind != peer.KindWrite {
		return peer.Verdict{}, false
	}
	return e.key.open()
}

// arm bounds the next answer: the statement is cancelled at its deadline, and
// the connection given up soon after.
func (e *exchange) arm(x context.Context, d time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.returned || x.Err() != nil {
		return
	}
	_ = e.c.SetReadDeadline(d.Add(cancelGrace))
	e.timer = time.AfterFunc(time.Until(d), func() { e.cancel(x) })
}

// cancel asks the backend server to end the running statement.
func (e *exchange) cancel(x context.Context) {
	e.mu.Lock()
	skip := e.returned || !e.holds
	e.cancelled = e.cancelled || !skip
	e.mu.Unlock()
	if !skip {
		_ = e.c.Cancel(x)
	}
}

// cut ends the reading of the answer at once.
func (e *exchange) cut() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.returned {
		_ = e.c.SetDeadline(time.Unix(1, 0))
	}
}

// release gives back the slot and the connection, if they are still held.
func (e *exchange) release(broken bool) {
	e.pauseSlot()
	if broken {
		e.cut()
	}
	e.out.Lock()
	defer e.out.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.returned {
		return
	}
	e.returned = true
	_ = e.c.SetDeadline(time.Time{})
	e.t.srv.pool.Put(e.c, broken || e.cancelled)
}

// pauseSlot gives back the slot.
func (e *exchange) pauseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.timer != nil {
		e.timer.Stop()
	}
	if e.holds {
		e.holds = false
		e.k.Release()
	}
}

// forward sends the entry's messages to the backend server.
func (e *exchange) forward(x context.Context) error {
	for {
		m, err := e.t.s.Read()
		if err != nil {
			return err
		}
		if m.Type == peer.TypeCancel {
			e.cancel(x)
			continue
		}
		if err := e.begin(x); err != nil {
			return err
		}
		e.note(m)
		if err := e.write(m); err != nil {
			return err
		}
	}
}

// write sends one message to the backend server, unless the connection went
// back to the pool.
func (e *exchange) write(m wire.Message) error {
	e.out.Lock()
	defer e.out.Unlock()
	e.mu.Lock()
	r := e.returned
	e.mu.Unlock()
	if r {
		return Error.Wrap(net.ErrClosed)
	}
	e.touch()
	if err := e.c.W.Write(m); err != nil {
		return Error.Wrap(err)
	}
	if m.Type != wire.Sync && m.Type != wire.Query && m.Type != wire.Flush && e.t.s.Buffered() > 0 {
		return nil
	}
	return Error.Wrap(e.c.W.Flush())
}

// begin takes a slot again for the first message after an answer.
func (e *exchange) begin(x context.Context) error {
	e.mu.Lock()
	first := e.paused
	e.paused = false
	e.mu.Unlock()
	if !first {
		return nil
	}
	_ = e.t.s.SetReadDeadline(time.Time{})
	b := e.t.o.c.Bundle()
	e.t.deadline = time.Now().Add(time.Duration(b.Ranks.Of(bundle.Rank(e.t.h.Rank)).Deadline))
	a := e.t.arrival()
	a.InTransaction = true
	k, err := e.t.srv.enter(x, a)
	if err != nil {
		return err
	}
	if !e.keep(k) {
		return Error.Wrap(net.ErrClosed)
	}
	e.arm(x, e.t.deadline)
	return nil
}

// keep holds a ticket for the next answer; it frees the ticket if the exchange
// has ended.
func (e *exchange) keep(k gate.Ticket) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.returned {
		k.Release()
		return false
	}
	e.k, e.holds = k, true
	return true
}

// pause notes that an answer has ended inside a transaction. It comes before the
// answer's end is sent, so that the next message finds it.
func (e *exchange) pause() {
	_ = e.t.s.SetReadDeadline(time.Now().Add(e.idle))
	e.mu.Lock()
	defer e.mu.Unlock()
	e.paused = true
}

// note looks for statements that may commit.
func (e *exchange) note(m wire.Message) {
	switch e.t.h.Kind {
	case peer.KindRead:
		return
	case peer.KindWrite:
		if e.key == nil {
			e.handle(outcome.Forwarded{MayCommit: true})
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
		e.handle(outcome.Forwarded{MayCommit: true})
	}
}

// handle tells the transaction's core of an event.
func (e *exchange) handle(v outcome.Event) []outcome.Action {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tx.Handle(v)
}

// touch notes that the connection gave or was sent a message.
func (e *exchange) touch() { e.heard.Store(int64(time.Since(e.began))) }

// answer sends the backend server's messages to the entry until the
// transaction has ended.
func (e *exchange) answer() peer.Verdict {
	for {
		m, err := e.c.R.Read()
		if err != nil {
			return e.broken(err)
		}
		e.touch()
		switch m.Type {
		case wire.ParameterStatus:
			e.parameter(m)
		case wire.CommandComplete:
			err = e.pass(e.tail...)
			e.tail = []wire.Message{m}
		case wire.ReadyForQuery:
			if done, v := e.finish(m); done {
				return v
			}
		default:
			if e.key != nil {
				e.key.see(m)
			}
			err = e.pass(append(e.tail, m)...)
			e.tail = nil
		}
		if err != nil {
			return peer.Verdict{Outcome: peer.NotRun, Reason: "entry-gone"}
		}
	}
}

func (e *exchange) pass(m ...wire.Message) error {
	if len(m) == 0 {
		return nil
	}
	if err := e.t.s.Write(m...); err != nil {
		return err
	}
	if e.c.R.Buffered() > 0 {
		return nil
	}
	return e.t.s.Flush()
}

func (e *exchange) parameter(m wire.Message) {
	n := wire.CString(m.Body)
	if n != backend.PositionParameter {
		return
	}
	p, err := logpos.Parse(wire.CString(m.Body[len(n)+1:]))
	if err != nil {
		e.t.o.c.Log.Error("member reports no position", "member", e.t.h.Member, "error", err)
		return
	}
	e.handle(outcome.Committed{Position: p})
}

// finish ends one answer. It reports whether the transaction is over.
func (e *exchange) finish(m wire.Message) (bool, peer.Verdict) {
	if e.key != nil {
		var v peer.Verdict
		if m, v = e.key.finish(m); v.Outcome != "" {
			return true, v
		}
	}
	over := len(m.Body) == 1 && m.Body[0] == 'I'
	deadline := e.t.deadline
	if over {
		e.release(false)
	} else {
		e.pauseSlot()
		_ = e.c.SetReadDeadline(time.Time{})
	}
	if v := e.drive(e.handle(outcome.Answered{}), deadline); v.Outcome == peer.Done && !v.Position.IsZero() {
		if e.t.s.WriteVerdict(v) != nil {
			return true, peer.Verdict{Outcome: peer.InDoubt, Reason: "entry-gone"}
		}
		e.mu.Lock()
		e.tx = outcome.New(e.key != nil)
		e.mu.Unlock()
	} else if v.Outcome != peer.Done && v.Outcome != "" {
		return true, v
	}
	if !over {
		e.pause()
	}
	if e.t.s.Write(append(e.tail, m)...) != nil || e.t.s.Flush() != nil {
		return true, peer.Verdict{Outcome: peer.NotRun, Reason: "entry-gone"}
	}
	e.tail = nil
	return over, peer.Verdict{}
}

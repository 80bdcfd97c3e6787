package model

import (
	"time"

	"github.com/dragonflypick/dragonflypick/failover"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/outcome"
)

// resolveBackoff is the pause before a failed look-up is repeated.
const resolveBackoff = 30 * time.Millisecond

// transaction performs the actions for one write at its owner.
type transaction struct {
	d        *Daemon
	request  request
	outcome  *outcome.Transaction
	release  func(bool)
	reply    func(ownerAnswer)
	released bool
	ended    bool
	// requestID is the ID of the request that the member answered.
	requestID string
}

func newTransaction(d *Daemon, r request, release func(bool), reply func(ownerAnswer)) *transaction {
	t := &transaction{d: d, request: r, outcome: outcome.New(r.Key != ""), release: release, reply: reply, requestID: r.ID}
	d.after(r.deadline.Sub(d.w.now), t.expire)
	return t
}

// expire handles the deadline of the request.
func (t *transaction) expire() {
	if !t.released && t.d.w.Options.DisconnectAsNotRun {
		t.end(ownerAnswer{outcome: NotRun})
		return
	}
	t.handle(outcome.Expired{})
}

// forward sends the write to the primary.
func (t *transaction) forward(purpose string) {
	t.handle(outcome.Forwarded{MayCommit: true})
	m := t.d.w.Member(t.request.member)
	t.d.w.startCall(&call{
		from: t.d.Node, to: m.Node, purpose: purpose, timeout: t.request.deadline.Sub(t.d.w.now) + cancelGrace,
		callerRequest: true,
		handle:        func(answer func(any)) { m.execute(t.request.Statement, answer) },
		done:          t.memberAnswered,
	})
	t.d.w.notifyWriteStep(SentToPrimary, t.request.Statement)
}

// memberAnswered handles the member's answer; ok is false if there is none.
func (t *transaction) memberAnswered(v any, ok bool) {
	t.releaseOnce(ok)
	r, _ := v.(result)
	switch {
	case !ok && t.d.w.Options.DisconnectAsNotRun:
		t.end(ownerAnswer{outcome: NotRun})
	case !ok:
		t.handle(outcome.Disconnected{})
	case !r.ok:
		t.end(ownerAnswer{outcome: NotRun})
	default:
		t.requestID = r.requestID
		t.handle(outcome.Committed{Position: r.position})
		t.handle(outcome.Answered{})
	}
}

// releaseOnce frees the slot on its first call, and returns the connection to
// the pool if it is reusable.
func (t *transaction) releaseOnce(reusable bool) {
	if !t.released {
		t.released = true
		t.release(reusable)
	}
}

// end answers the request.
func (t *transaction) end(v ownerAnswer) {
	if t.ended {
		return
	}
	t.ended = true
	t.releaseOnce(false)
	v.requestID = t.requestID
	t.d.w.notifyWriteStep(Answering, t.request.Statement)
	t.reply(v)
}

// handle passes an event to the outcome and performs the actions that it
// returns.
func (t *transaction) handle(e outcome.Event) {
	for _, a := range t.outcome.Handle(e) {
		switch x := a.(type) {
		case outcome.AwaitMajority:
			t.awaitMajority(x.Position)
		case outcome.ResolvePosition:
			t.resolvePosition(x.Position)
		case outcome.ResolveKey:
			t.resolveKey()
		case outcome.Done:
			t.end(ownerAnswer{outcome: Done, position: x.Position})
		case outcome.NotRun:
			t.end(ownerAnswer{outcome: NotRun})
		case outcome.InDoubt:
			t.end(ownerAnswer{outcome: InDoubt})
		}
	}
}

// awaitMajority waits until a majority has p or until the term of p is
// superseded.
func (t *transaction) awaitMajority(p logpos.Position) {
	if t.d.w.Options.AckBeforeMajority {
		t.handle(outcome.Durable{})
		return
	}
	t.d.w.notifyWriteStep(WaitingForMajority, t.request.Statement)
	t.runWhen(func(g *failover.Group) bool { return g.Durable(p) || g.TermSuperseded(p.Term) }, func() {
		if t.d.group.Durable(p) {
			t.handle(outcome.Durable{})
			return
		}
		t.handle(outcome.TermSuperseded{})
	})
}

// runWhen runs f once the condition holds, unless the transaction has ended.
func (t *transaction) runWhen(condition func(*failover.Group) bool, f func()) {
	t.d.runWhen(func(g *failover.Group) bool { return t.ended || condition(g) }, func() {
		if !t.ended {
			f()
		}
	})
}

// retryLater runs f after resolveBackoff, unless the transaction has ended.
func (t *transaction) retryLater(f func()) {
	t.d.after(resolveBackoff, func() {
		if !t.ended {
			f()
		}
	})
}

// resolvingPrimary returns the primary whose log determines the outcome of the
// writes of a term.
func (t *transaction) resolvingPrimary(g *failover.Group, term uint64) (string, bool) {
	if t.d.w.Options.ResolveBeforeMajority {
		v := g.View(t.d.w.now)
		return v.Primary, v.Term > term
	}
	return g.LaterTermCommitted(term)
}

// resolvePosition looks for p in the log of a primary of a later term.
func (t *transaction) resolvePosition(p logpos.Position) {
	t.runWhen(func(g *failover.Group) bool {
		_, ok := t.resolvingPrimary(g, p.Term)
		return ok
	}, func() {
		n, _ := t.resolvingPrimary(t.d.group, p.Term)
		term := t.d.group.View(t.d.w.now).Term
		m := t.d.w.Member(n)
		t.d.w.startCall(&call{
			from: t.d.Node, to: m.Node, purpose: "resolve", timeout: controlTimeout,
			handle: func(answer func(any)) { answer(m.holdsPosition(p, term)) },
			done: func(v any, ok bool) {
				r, _ := v.(result)
				if !ok || !r.ok {
					t.retryLater(func() { t.resolvePosition(p) })
					return
				}
				t.handle(outcome.PositionResolved{Present: r.found})
			},
		})
	})
}

// resolveKey looks up the key of the write at a confirmed primary.
func (t *transaction) resolveKey() {
	t.runWhen(func(g *failover.Group) bool { return g.View(t.d.w.now).Confirmed }, func() {
		v := t.d.group.View(t.d.w.now)
		m := t.d.w.Member(v.Primary)
		t.d.w.startCall(&call{
			from: t.d.Node, to: m.Node, purpose: "resolve", timeout: controlTimeout,
			handle: func(answer func(any)) { answer(m.lookUpKey(t.request.Statement)) },
			done: func(x any, ok bool) {
				r, _ := x.(result)
				if !ok || !r.ok || r.term != v.Term {
					t.retryLater(t.resolveKey)
					return
				}
				t.confirmKeyLookup(r)
			},
		})
	})
}

// confirmKeyLookup waits until a majority has the log in which the key was
// looked up.
func (t *transaction) confirmKeyLookup(r result) {
	p := r.position
	if t.d.w.Options.ResolveBeforeMajority {
		t.handle(outcome.KeyResolved{Present: r.found, Position: p})
		return
	}
	t.runWhen(func(g *failover.Group) bool { return g.Durable(p) || g.TermSuperseded(p.Term) }, func() {
		if !t.d.group.Durable(p) {
			t.retryLater(t.resolveKey)
			return
		}
		t.handle(outcome.KeyResolved{Present: r.found, Position: p})
	})
}

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
	daemon   *Daemon
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
	t := &transaction{daemon: d, request: r, outcome: outcome.New(r.Key != ""), release: release, reply: reply, requestID: r.ID}
	d.after(r.deadline.Sub(d.world.now), t.handleDeadline)
	return t
}

// handleDeadline handles the deadline of the request.
func (t *transaction) handleDeadline() {
	if !t.released && t.daemon.world.Options.DisconnectAsNotRun {
		t.end(ownerAnswer{outcome: NotRun})
		return
	}
	t.handleEvent(outcome.Expired{})
}

// forward sends the write to the primary.
func (t *transaction) forward(purpose string) {
	t.handleEvent(outcome.Forwarded{MayCommit: true})
	m := t.daemon.world.Member(t.request.member)
	t.daemon.world.startCall(&call{
		from: t.daemon.Node, to: m.Node, purpose: purpose, timeout: t.request.deadline.Sub(t.daemon.world.now) + cancelGrace,
		callerRequest: true,
		handle:        func(answer func(any)) { m.executeWrite(t.request.Statement, answer) },
		done:          t.handleMemberAnswer,
	})
	t.daemon.world.notifyWriteStep(SentToPrimary, t.request.Statement)
}

// handleMemberAnswer handles the member's answer; ok is false if there is none.
func (t *transaction) handleMemberAnswer(v any, ok bool) {
	t.releaseOnce(ok)
	r, _ := v.(memberAnswer)
	switch {
	case !ok && t.daemon.world.Options.DisconnectAsNotRun:
		t.end(ownerAnswer{outcome: NotRun})
	case !ok:
		t.handleEvent(outcome.Disconnected{})
	case !r.ok:
		t.end(ownerAnswer{outcome: NotRun})
	default:
		t.requestID = r.requestID
		t.handleEvent(outcome.Committed{Position: r.position})
		t.handleEvent(outcome.Answered{})
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

// end ends the transaction and answers the request.
func (t *transaction) end(v ownerAnswer) {
	if t.ended {
		return
	}
	t.ended = true
	t.releaseOnce(false)
	v.requestID = t.requestID
	t.daemon.world.notifyWriteStep(Answering, t.request.Statement)
	t.reply(v)
}

// handleEvent passes an event to the outcome.Transaction and performs the
// actions that it returns.
func (t *transaction) handleEvent(e outcome.Event) {
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
	if t.daemon.world.Options.AckBeforeMajority {
		t.handleEvent(outcome.Durable{})
		return
	}
	t.daemon.world.notifyWriteStep(WaitingForMajority, t.request.Statement)
	t.runWhen(func(g *failover.Group) bool { return g.Durable(p) || g.TermSuperseded(p.Term) }, func() {
		if t.daemon.group.Durable(p) {
			t.handleEvent(outcome.Durable{})
			return
		}
		t.handleEvent(outcome.TermSuperseded{})
	})
}

// runWhen runs f once the condition holds, unless the transaction has ended.
func (t *transaction) runWhen(condition func(*failover.Group) bool, f func()) {
	t.daemon.runWhen(func(g *failover.Group) bool { return t.ended || condition(g) }, func() {
		if !t.ended {
			f()
		}
	})
}

// retryLater runs f after resolveBackoff, unless the transaction has ended.
func (t *transaction) retryLater(f func()) {
	t.daemon.after(resolveBackoff, func() {
		if !t.ended {
			f()
		}
	})
}

// resolvingPrimary returns the primary whose log determines the outcome of the
// writes of a term.
func (t *transaction) resolvingPrimary(g *failover.Group, term uint64) (string, bool) {
	if t.daemon.world.Options.ResolveBeforeMajority {
		v := g.View(t.daemon.world.now)
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
		n, _ := t.resolvingPrimary(t.daemon.group, p.Term)
		term := t.daemon.group.View(t.daemon.world.now).Term
		m := t.daemon.world.Member(n)
		t.daemon.world.startCall(&call{
			from: t.daemon.Node, to: m.Node, purpose: "resolve", timeout: controlTimeout,
			handle: func(answer func(any)) { answer(m.lookUpPosition(p, term)) },
			done: func(v any, ok bool) {
				r, _ := v.(memberAnswer)
				if !ok || !r.ok {
					t.retryLater(func() { t.resolvePosition(p) })
					return
				}
				t.handleEvent(outcome.PositionResolved{Present: r.found})
			},
		})
	})
}

// resolveKey looks up the key of the write at a confirmed primary.
func (t *transaction) resolveKey() {
	t.runWhen(func(g *failover.Group) bool { return g.View(t.daemon.world.now).Confirmed }, func() {
		v := t.daemon.group.View(t.daemon.world.now)
		m := t.daemon.world.Member(v.Primary)
		t.daemon.world.startCall(&call{
			from: t.daemon.Node, to: m.Node, purpose: "resolve", timeout: controlTimeout,
			handle: func(answer func(any)) { answer(m.endSessionAndLookUpKey(t.request.Statement)) },
			done: func(x any, ok bool) {
				r, _ := x.(memberAnswer)
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
func (t *transaction) confirmKeyLookup(r memberAnswer) {
	p := r.position
	if t.daemon.world.Options.ResolveBeforeMajority {
		t.handleEvent(outcome.KeyResolved{Present: r.found, Position: p})
		return
	}
	t.runWhen(func(g *failover.Group) bool { return g.Durable(p) || g.TermSuperseded(p.Term) }, func() {
		if !t.daemon.group.Durable(p) {
			t.retryLater(t.resolveKey)
			return
		}
		t.handleEvent(outcome.KeyResolved{Present: r.found, Position: p})
	})
}

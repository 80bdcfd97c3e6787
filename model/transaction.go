package model

import (
	"time"

	"github.com/dragonflypick/dragonflypick/failover"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/outcome"
)

// resolvePause is the pause before a failed look-up is made again.
const resolvePause = 30 * time.Millisecond

// transaction drives the decisions on one write at its owner.
type transaction struct {
	d     *Daemon
	r     request
	core  *outcome.Transaction
	free  func(bool)
	reply func(verdict)
	freed bool
	over  bool
	// echo is the request that the member's answer belongs to.
	echo string
}

func newTransaction(d *Daemon, r request, free func(bool), reply func(verdict)) *transaction {
	t := &transaction{d: d, r: r, core: outcome.New(r.Key != ""), free: free, reply: reply, echo: r.ID}
	d.after(r.deadline.Sub(d.w.now), t.expire)
	return t
}

func (t *transaction) expire() {
	if !t.freed && t.d.w.Options.DisconnectAsNotRun {
		t.end(verdict{outcome: NotRun})
		return
	}
	t.handle(outcome.Expired{})
}

// forward sends the write to the primary.
func (t *transaction) forward(use string) {
	t.handle(outcome.Forwarded{MayCommit: true})
	m := t.d.w.Member(t.r.member)
	t.d.w.do(&call{
		from: t.d.Node, to: m.Node, use: use, timeout: t.r.deadline.Sub(t.d.w.now) + cancelGrace,
		caller: true,
		handle: func(answer func(any)) { m.execute(t.r.Statement, answer) },
		done:   t.answered,
	})
	t.d.w.reach(SentToPrimary, t.r.Statement)
}

func (t *transaction) answered(v any, ok bool) {
	t.release(ok)
	r, _ := v.(result)
	switch {
	case !ok && t.d.w.Options.DisconnectAsNotRun:
		t.end(verdict{outcome: NotRun})
	case !ok:
		t.handle(outcome.Disconnected{})
	case !r.ok:
		t.end(verdict{outcome: NotRun})
	default:
		t.echo = r.echo
		t.handle(outcome.Committed{Position: r.position})
		t.handle(outcome.Answered{})
	}
}

func (t *transaction) release(whole bool) {
	if !t.freed {
		t.freed = true
		t.free(whole)
	}
}

func (t *transaction) end(v verdict) {
	if t.over {
		return
	}
	t.over = true
	t.release(false)
	v.echo = t.echo
	t.d.w.reach(Answering, t.r.Statement)
	t.reply(v)
}

// handle feeds the core and carries out what it asks for.
func (t *transaction) handle(e outcome.Event) {
	for _, a := range t.core.Handle(e) {
		switch x := a.(type) {
		case outcome.AwaitMajority:
			t.await(x.Position)
		case outcome.ResolvePosition:
			t.resolvePosition(x.Position)
		case outcome.ResolveKey:
			t.resolveKey()
		case outcome.Done:
			t.end(verdict{outcome: Done, position: x.Position})
		case outcome.NotRun:
			t.end(verdict{outcome: NotRun})
		case outcome.InDoubt:
			t.end(verdict{outcome: InDoubt})
		}
	}
}

func (t *transaction) await(p logpos.Position) {
	if t.d.w.Options.AckBeforeMajority {
		t.handle(outcome.Durable{})
		return
	}
	t.d.w.reach(Waiting, t.r.Statement)
	t.when(func(g *failover.Group) bool { return g.Durable(p) || g.TermSuperseded(p.Term) }, func() {
		if t.d.core.Durable(p) {
			t.handle(outcome.Durable{})
			return
		}
		t.handle(outcome.TermSuperseded{})
	})
}

// when runs f once ok holds, unless the transaction has ended.
func (t *transaction) when(ok func(*failover.Group) bool, f func()) {
	t.d.await(func(g *failover.Group) bool { return t.over || ok(g) }, func() {
		if !t.over {
			f()
		}
	})
}

// later runs f after a pause, unless the transaction has ended.
func (t *transaction) later(f func()) {
	t.d.after(resolvePause, func() {
		if !t.over {
			f()
		}
	})
}

// settled returns the primary whose log settles writes of a term.
func (t *transaction) settled(g *failover.Group, term uint64) (string, bool) {
	if t.d.w.Options.ResolveBeforeMajority {
		v := g.View(t.d.w.now)
		return v.Primary, v.Term > term
	}
	return g.LaterTermCommitted(term)
}

func (t *transaction) resolvePosition(p logpos.Position) {
	t.when(func(g *failover.Group) bool {
		_, ok := t.settled(g, p.Term)
		return ok
	}, func() {
		n, _ := t.settled(t.d.core, p.Term)
		term := t.d.core.View(t.d.w.now).Term
		m := t.d.w.Member(n)
		t.d.w.do(&call{
			from: t.d.Node, to: m.Node, use: "resolve", timeout: controlTimeout,
			handle: func(answer func(any)) { answer(m.holds(p, term)) },
			done: func(v any, ok bool) {
				r, _ := v.(result)
				if !ok || !r.ok {
					t.later(func() { t.resolvePosition(p) })
					return
				}
				t.handle(outcome.PositionResolved{Present: r.found})
			},
		})
	})
}

func (t *transaction) resolveKey() {
	t.when(func(g *failover.Group) bool { return g.View(t.d.w.now).Confirmed }, func() {
		v := t.d.core.View(t.d.w.now)
		m := t.d.w.Member(v.Primary)
		t.d.w.do(&call{
			from: t.d.Node, to: m.Node, use: "resolve", timeout: controlTimeout,
			handle: func(answer func(any)) { answer(m.look(t.r.Statement)) },
			done: func(x any, ok bool) {
				r, _ := x.(result)
				if !ok || !r.ok || r.term != v.Term {
					t.later(t.resolveKey)
					return
				}
				t.settleKey(r)
			},
		})
	})
}

// settleKey waits until a majority has what the key's look-up saw.
func (t *transaction) settleKey(r result) {
	p := r.position
	if t.d.w.Options.ResolveBeforeMajority {
		t.handle(outcome.KeyResolved{Present: r.found, Position: p})
		return
	}
	t.when(func(g *failover.Group) bool { return g.Durable(p) || g.TermSuperseded(p.Term) }, func() {
		if !t.d.core.Durable(p) {
			t.later(t.resolveKey)
			return
		}
		t.handle(outcome.KeyResolved{Present: r.found, Position: p})
	})
}

package owner

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/monitor"
	"github.com/dragonflypick/dragonflypick/outcome"
	"github.com/dragonflypick/dragonflypick/peer"
	"github.com/dragonflypick/dragonflypick/wire"
)

// drive carries out what the transaction's core asks for until it has decided,
// and returns the decision; none if the transaction goes on.
func (e *exchange) drive(l []outcome.Action, deadline time.Time) peer.Verdict {
	x, stop := context.WithDeadline(context.Background(), deadline)
	defer stop()
	for len(l) > 0 {
		switch a := l[0].(type) {
		case outcome.AwaitMajority:
			l = e.handle(e.await(x, a.Position))
		case outcome.ResolvePosition:
			l = e.handle(e.resolve(x, a.Position))
		case outcome.ResolveKey:
			l = e.handle(e.key.resolve(x))
		case outcome.Done:
			return peer.Verdict{Outcome: peer.Done, Position: a.Position}
		case outcome.NotRun:
			return peer.Verdict{Outcome: peer.NotRun, Reason: string(a.Reason), RetryAfter: defaultRetryAfter}
		case outcome.InDoubt:
			return peer.Verdict{Outcome: peer.InDoubt, Reason: string(a.Reason)}
		}
	}
	return peer.Verdict{}
}

// await waits until a majority has the position.
func (e *exchange) await(x context.Context, p logpos.Position) outcome.Event {
	if e.t.o.c.AcknowledgeAtCommit {
		return outcome.Durable{}
	}
	b := time.Now()
	err := e.t.m.AwaitDurable(x, p)
	e.t.o.metrics.wait.Observe(time.Since(b).Seconds())
	e.t.o.c.Log.Debug("write on majority", "group", e.t.h.Group, "member", e.t.h.Member, "rank", bundle.Rank(e.t.h.Rank).String(),
		"position", p.String(), "waited", time.Since(b), "error", err)
	var s *monitor.SupersededError
	switch {
	case err == nil:
		return outcome.Durable{}
	case errors.As(err, &s):
		return outcome.TermSuperseded{}
	default:
		return outcome.Expired{}
	}
}

// resolve looks for the position in the log of the next term.
func (e *exchange) resolve(x context.Context, p logpos.Position) outcome.Event {
	h, err := e.t.m.Resolve(x, p)
	if err != nil {
		return outcome.Expired{}
	}
	return outcome.PositionResolved{Present: h}
}

func (e *exchange) attempt() monitor.Attempt {
	return monitor.Attempt{Member: e.t.h.Member, PID: e.c.PID()}
}

// broken gives the verdict after the connection failed.
func (e *exchange) broken(err error) peer.Verdict {
	e.release(true)
	e.end(err)
	v := e.drive(e.handle(outcome.Disconnected{}), e.t.deadline)
	e.t.o.c.Log.Info("connection lost", "group", e.t.h.Group, "member", e.t.h.Member, "rank", bundle.Rank(e.t.h.Rank).String(),
		"kind", e.t.h.Kind, "keyed", e.key != nil, "outcome", v.Outcome, "reason", v.Reason, "error", err)
	if v.Outcome != peer.Done {
		return v
	}
	return e.complete(v)
}

// end ends the session of a connection that was given up while its server may
// still hold it open.
func (e *exchange) end(err error) {
	var n net.Error
	if e.t.h.Kind == peer.KindRead || !errors.As(err, &n) || !n.Timeout() {
		return
	}
	x, stop := context.WithDeadline(context.Background(), e.t.deadline)
	defer stop()
	e.t.m.End(x, e.attempt())
}

// complete gives the rest of the answer to a transaction that is done though
// its connection broke; only with a key is that rest known.
func (e *exchange) complete(v peer.Verdict) peer.Verdict {
	if e.key == nil || e.tail == nil {
		return peer.Verdict{Outcome: peer.InDoubt, Reason: "answer-lost", Position: v.Position}
	}
	if e.t.s.WriteVerdict(v) == nil && e.t.s.Write(append(e.tail, idle)...) == nil {
		_ = e.t.s.Flush()
	}
	return peer.Verdict{}
}

// idle is the ReadyForQuery outside of a transaction.
var idle = wire.Message{Type: wire.ReadyForQuery, Body: []byte{'I'}}

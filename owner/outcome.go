package owner

import (
	"context"
	"errors"
	"time"

	"github.com/dragonflypick/dragonflypick/backend"
	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/monitor"
	"github.com/dragonflypick/dragonflypick/outcome"
	"github.com/dragonflypick/dragonflypick/peer"
	"github.com/dragonflypick/dragonflypick/wire"
)

// performActions performs actions of tx, and those that tx returns for their
// results, until there are none or tx has decided the outcome. It returns the
// verdict, which is empty if the transaction continues.
func (e *exchange) performActions(l []outcome.Action, deadline time.Time) peer.Verdict {
	x, stop := context.WithDeadline(context.Background(), deadline)
	defer stop()
	for len(l) > 0 {
		switch a := l[0].(type) {
		case outcome.AwaitMajority:
			l = e.handleEvent(e.awaitDurable(x, a.Position))
		case outcome.ResolvePosition:
			l = e.handleEvent(e.resolvePosition(x, a.Position))
		case outcome.ResolveKey:
			l = e.handleEvent(e.key.resolveOutcome(x))
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

// awaitDurable waits until a majority of the group's members has the position.
func (e *exchange) awaitDurable(x context.Context, p logpos.Position) outcome.Event {
	if e.task.owner.config.AcknowledgeAtCommit {
		return outcome.Durable{}
	}
	b := time.Now()
	err := e.task.monitor.AwaitDurable(x, p)
	e.task.owner.metrics.majorityWait.Observe(time.Since(b).Seconds())
	e.task.owner.config.Log.Debug("majority wait finished", "group", e.task.header.Group, "member", e.task.header.Member, "rank", bundle.Rank(e.task.header.Rank).String(),
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

// resolvePosition determines whether the log of a later term's primary holds the
// position.
func (e *exchange) resolvePosition(x context.Context, p logpos.Position) outcome.Event {
	h, err := e.task.monitor.ResolvePosition(x, p)
	if err != nil {
		return outcome.Expired{}
	}
	return outcome.PositionResolved{Present: h}
}

// backendSession identifies the session of the exchange's connection.
func (e *exchange) backendSession() monitor.BackendSession {
	return monitor.BackendSession{Member: e.task.header.Member, PID: e.conn.PID()}
}

// connectionLost determines the verdict after the connection has failed, and
// completes the answer if the transaction turns out to be done.
func (e *exchange) connectionLost(err error) peer.Verdict {
	e.releaseConnection(true)
	e.terminateSession(err)
	v := e.performActions(e.handleEvent(outcome.Disconnected{}), e.task.deadline)
	e.task.owner.config.Log.Info("connection lost", "group", e.task.header.Group, "member", e.task.header.Member, "rank", bundle.Rank(e.task.header.Rank).String(),
		"kind", e.task.header.Kind, "keyed", e.key != nil, "outcome", v.Outcome, "reason", v.Reason, "error", err)
	if v.Outcome != peer.Done {
		return v
	}
	return e.completeAnswer(v)
}

// terminateSession terminates the session of a connection that timed out, since
// its server may still keep the session and its transaction open. That of a read holds
// no lock and is left to the next maintenance.
func (e *exchange) terminateSession(err error) {
	if !backend.IsTimeout(err) {
		return
	}
	x, stop := context.WithDeadline(context.Background(), e.task.deadline)
	defer stop()
	if e.task.header.Kind == peer.KindRead || !e.task.monitor.TerminateSession(x, e.backendSession()) {
		e.task.server.pool.Abandon(e.conn.PID())
	}
}

// completeAnswer sends the remaining messages of the answer for a transaction
// that is done although its connection was lost. They are known only for a
// request with a key; otherwise the outcome that is reported is in doubt.
func (e *exchange) completeAnswer(v peer.Verdict) peer.Verdict {
	if e.key == nil || e.pendingComplete == nil {
		return peer.Verdict{Outcome: peer.InDoubt, Reason: "answer-lost", Position: v.Position}
	}
	if e.task.stream.WriteVerdict(v) == nil && e.task.stream.Write(append(e.pendingComplete, readyIdle)...) == nil {
		_ = e.task.stream.Flush()
	}
	return peer.Verdict{}
}

// readyIdle is the ReadyForQuery message outside of a transaction.
var readyIdle = wire.Message{Type: wire.ReadyForQuery, Body: []byte{'I'}}

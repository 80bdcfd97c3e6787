package fleet

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/peer"
	"github.com/dragonflypick/dragonflypick/query"
)

// executeAt runs a request at a host, which may be this one. It names the
// transaction that a request opens.
func (f *Daemon) executeAt(x context.Context, h membership.Host, r *query.Request, left time.Duration) query.Response {
	q := *r
	q.Remaining = left
	if r.Stage == query.First {
		q.Transaction = r.Session + "#" + strconv.FormatUint(f.attempts.Add(1), 36)
	}
	f.prepareSurvey(&q)
	o := f.serveOrCall(x, h, &q, left)
	f.observeAnswer(&q, &o)
	f.observeWait(&q, &o)
	o.Owner, o.Transaction = h.ID, q.Transaction
	f.observePressure(r, &o)
	return o
}

// serveOrCall serves a request if the host is this one, and sends it to the host
// otherwise. If the outcome of the first statement of a transaction is lost, the
// transaction is rolled back there.
func (f *Daemon) serveOrCall(x context.Context, h membership.Host, r *query.Request, left time.Duration) query.Response {
	if h.ID == f.config.Self.ID {
		return f.serveRequest(x, r)
	}
	y, stop := context.WithTimeout(x, left+replyMargin)
	defer stop()
	// A read may be sent again elsewhere; other work is lost with a link that has
	// failed unnoticed.
	call := f.node.CallVerified
	if r.Action == query.ActionRead && r.Stage != query.Later && !r.Primary {
		defer f.cancelOnStall(h.ID, stop)()
		call = f.node.Call
	}
	var o query.Response
	err := call(y, h, methodExecute, r.Encodable(), &o)
	if err == nil {
		f.mu.Lock()
		f.lastExecuteReply[h.ID] = time.Now()
		f.learnPace(&o)
		f.mu.Unlock()
		return o
	}
	o = query.Response{}
	var u *peer.UnsentError
	if errors.As(err, &u) {
		o.Failure = &query.Failure{Reason: query.Unreachable, Text: err.Error()}
		return o
	}
	o.Failure = lostFailure(r, err.Error())
	if r.Stage == query.First {
		a := query.Request{Group: r.Group, Member: r.Member, Session: r.Session, Transaction: r.Transaction, Stage: query.Abandon, Remaining: controlTimeout}
		f.spawn(func(x context.Context) { f.abandonTransaction(x, h, a) })
	}
	return o
}

// cancelOnStall cancels a call of methodExecute once the host has answered no such
// call for stallTimeout, for example because it is frozen. The returned function
// ends the check.
func (f *Daemon) cancelOnStall(host string, cancel func()) func() bool {
	start := time.Now()
	var t *time.Timer
	assigned := make(chan struct{})
	t = time.AfterFunc(stallTimeout, func() {
		<-assigned
		f.mu.Lock()
		a := f.lastExecuteReply[host]
		f.mu.Unlock()
		if a.Before(start) {
			cancel()
			return
		}
		start = a
		t.Reset(stallTimeout)
	})
	close(assigned)
	return t.Stop
}

// abandonTransaction requests the rollback of a transaction that may have been
// opened at a host.
func (f *Daemon) abandonTransaction(x context.Context, h membership.Host, r query.Request) {
	y, stop := context.WithTimeout(x, controlTimeout)
	defer stop()
	var o query.Response
	if err := f.node.Call(y, h, methodExecute, &r, &o); err != nil {
		f.config.Log.Debug("transaction rollback failed", "host", h.ID, "session", r.Session, "error", err)
	}
}

// lostFailure returns the failure of a request that was sent and whose reply is
// lost.
func lostFailure(r *query.Request, text string) *query.Failure {
	o := &query.Failure{Reason: query.Unreachable, Text: text}
	switch {
	case r.Action == query.ActionCommit, r.Stage == query.Single && r.Action == query.ActionWrite:
		o.Reason = query.InDoubt
	case r.Stage == query.Later, r.Stage == query.First:
		o.Reason = query.Aborted
	}
	return o
}

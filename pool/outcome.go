package pool

import (
	"errors"

	"github.com/dragonflypick/dragonflypick/query"
)

// connUse is what became of a connection on which a request was to run.
type connUse uint8

const (
	connUsable connUse = iota
	// connBroken means that it can't be used any more.
	connBroken
	// connUnsent means the same, and that nothing of the request was sent on it that the
	// member may run.
	connUnsent
)

// failedReply returns the outcome of a request whose first step of its own failed.
func failedReply(c *conn, r *query.Request, err error) (query.Reply, connUse) {
	if o := repeatedRefusal(r, err); o != nil {
		c.doubted = true
		return *o, connUsable
	}
	if isUnsent(err) {
		return setUpFailedReply(query.Reply{}, err), connUnsent
	}
	return lostReply(r, err), connBroken
}

// setUpFailedReply returns the outcome of a statement that wasn't sent because
// conn.setUpSession failed.
func setUpFailedReply(o query.Reply, err error) query.Reply {
	if err != nil {
		return query.Reply{Failure: &query.Failure{Reason: query.Unreachable, Text: err.Error()}, State: query.Idle}
	}
	return o
}

// lostTxReply returns the outcome of a statement in a transaction whose connection
// broke or could not be set up. The member then rolls the transaction back.
func lostTxReply(err error) query.Reply {
	t := "the member refused to set up the session"
	if err != nil {
		t = err.Error()
	}
	return query.Reply{Failure: &query.Failure{Reason: query.Aborted, Text: t}, State: query.Failed}
}

// lostFirstReply returns the outcome of the first statement of a transaction whose answer
// was lost after the transaction's begin was answered. If an answer wasn't to its step, that
// of the begin may have been another one's, so that a write ran outside of the transaction.
func lostFirstReply(r *query.Request, err error) query.Reply {
	o := lostReply(r, err)
	if r.Action == query.ActionWrite && asAnswerError(err) != nil {
		o.Failure.Reason = query.InDoubt
	}
	return o
}

// repeatedRefusal returns the refusal of a read, or of the begin of a read-only
// transaction, that equals an earlier one; nil if err is another error. It is true whether it
// is a copy or not, since reads leave nothing.
func repeatedRefusal(r *query.Request, err error) *query.Reply {
	a := asAnswerError(err)
	if a == nil || a.Refusal == nil || changesData(r) || r.Stage == query.Later || !a.Refusal.Failure.Reason.NotRun() {
		return nil
	}
	return a.Refusal
}

// lostReply returns the outcome of a statement or commit whose answer was lost.
func lostReply(r *query.Request, err error) query.Reply {
	f := &query.Failure{Reason: query.InDoubt, Text: err.Error()}
	switch {
	case r.Stage == query.First && r.Action != query.ActionCommit:
		// The transaction may stay open at the member until it detects the lost
		// connection. With Aborted it isn't opened a second time with the same ID.
		f.Reason = query.Aborted
	case r.Action == query.ActionRead:
		f.Reason = query.Unreachable
	}
	return query.Reply{Failure: f, State: query.Idle}
}

func asFailure(err error) (*query.Failure, bool) {
	var f *query.Failure
	ok := errors.As(err, &f)
	return f, ok
}

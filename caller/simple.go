package caller

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/dragonflypick/dragonflypick/peer"
	"github.com/dragonflypick/dragonflypick/statement"
	"github.com/dragonflypick/dragonflypick/wire"
)

// simple runs a simple query.
func (n *client) simple(x context.Context, m wire.Message) error {
	c := statement.Classify(wire.CString(m.Body))
	if done := n.shortcut(c); done {
		return nil
	}
	return n.dispatch(x, work{class: c, messages: []wire.Message{m}, whole: true})
}

// shortcut answers a simple query that needs no backend server.
func (n *client) shortcut(c statement.Class) bool {
	var e *RefusedError
	switch {
	case c.Kind == statement.Unsupported:
		e = unsupported(c.Feature)
	case n.status == statusFailed && n.open == nil:
		e = n.failedTransaction(c)
	case c.Count <= 1 && isLocal(c.Kind):
		n.describeLocal(c)
		e = n.local(c)
	case c.Kind == statement.End && c.Count == 1 && n.status == statusIdle:
		n.send(&pgproto3.NoticeResponse{Severity: "WARNING", SeverityUnlocalized: "WARNING", Code: "25P01", Message: "there is no transaction in progress"})
		n.send(&pgproto3.CommandComplete{CommandTag: []byte("COMMIT")})
	default:
		return false
	}
	if e != nil {
		n.refuse(e)
	}
	n.ready()
	return true
}

// failedTransaction handles a statement in a transaction that has failed here.
func (n *client) failedTransaction(c statement.Class) *RefusedError {
	if c.Kind == statement.End {
		n.status = statusIdle
		n.send(&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")})
		return nil
	}
	return &RefusedError{Code: codeFailedTx, Message: "current transaction is aborted, commands ignored until end of transaction block"}
}

func unsupported(f string) *RefusedError {
	return &RefusedError{Code: codeUnsupported, Message: f + " is not supported through this proxy", Hint: "Connections are shared between callers, so state that outlives a transaction can't be kept."}
}

// kindOf tells what kind of stream a statement needs.
func kindOf(c statement.Class) peer.Kind {
	switch c.Kind {
	case statement.Read:
		return peer.KindRead
	case statement.Begin, statement.BeginReadOnly:
		return peer.KindTransaction
	default:
		return peer.KindWrite
	}
}

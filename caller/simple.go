package caller

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/dragonflypick/dragonflypick/peer"
	"github.com/dragonflypick/dragonflypick/statement"
	"github.com/dragonflypick/dragonflypick/wire"
)

// runSimpleQuery answers a Query message.
func (n *callerSession) runSimpleQuery(x context.Context, m wire.Message) error {
	c := statement.Classify(wire.CString(m.Body))
	if done := n.answerWithoutServer(c); done {
		return nil
	}
	return n.dispatch(x, query{class: c, messages: []wire.Message{m}, complete: true})
}

// answerWithoutServer answers a simple query that needs no backend server, and
// reports whether it did.
func (n *callerSession) answerWithoutServer(c statement.Classification) bool {
	var e *RefusedError
	switch {
	case c.Kind == statement.Unsupported:
		e = unsupportedError(c.Feature)
	case n.txStatus == statusFailed && n.txStream == nil:
		e = n.handleFailedTransaction(c)
	case c.Count <= 1 && isLocalKind(c.Kind):
		n.describeLocal(c)
		e = n.runLocalStatement(c)
	case c.Kind == statement.End && c.Count == 1 && n.txStatus == statusIdle:
		n.send(&pgproto3.NoticeResponse{Severity: "WARNING", SeverityUnlocalized: "WARNING", Code: "25P01", Message: "there is no transaction in progress"})
		n.send(&pgproto3.CommandComplete{CommandTag: []byte("COMMIT")})
	default:
		return false
	}
	if e != nil {
		n.refuse(e)
	}
	n.sendReady()
	return true
}

// handleFailedTransaction handles a statement in a transaction that failed in
// the proxy: its end is answered as a rollback, all others get an error.
func (n *callerSession) handleFailedTransaction(c statement.Classification) *RefusedError {
	if c.Kind == statement.End {
		n.txStatus = statusIdle
		n.send(&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")})
		return nil
	}
	return &RefusedError{Code: codeFailedTransaction, Message: "current transaction is aborted, commands ignored until end of transaction block"}
}

func unsupportedError(f string) *RefusedError {
	return &RefusedError{Code: codeUnsupported, Message: f + " is not supported through this proxy", Hint: "Connections are shared between callers, so state that outlives a transaction can't be kept."}
}

// requestKind returns the kind of request that a statement needs.
func requestKind(c statement.Classification) peer.Kind {
	switch c.Kind {
	case statement.Read:
		return peer.KindRead
	case statement.Begin, statement.BeginReadOnly:
		return peer.KindTransaction
	default:
		return peer.KindWrite
	}
}

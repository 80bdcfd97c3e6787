package caller

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/peer"
	"github.com/dragonflypick/dragonflypick/session"
	"github.com/dragonflypick/dragonflypick/wire"
)

// Transaction statuses in ReadyForQuery.
const (
	statusIdle   = byte('I')
	statusOpen   = byte('T')
	statusFailed = byte('E')
)

// callerSession is the session of one logged-in caller.
type callerSession struct {
	server    *Server
	conn      net.Conn
	reader    *wire.Reader
	writer    *wire.Writer
	cancelKey cancelKey
	caller    string
	group     string
	params    map[string]string
	settings  settings
	floor     session.Floor
	// txStatus is the transaction status of the last ReadyForQuery.
	txStatus byte
	// txStream is the stream of the open transaction; nil if there is none, or
	// if it failed in the daemon and only the caller's rollback is missing.
	txStream *peer.Stream
	// txRoute is the route of txStream.
	txRoute Route
	// receivedBytes is the size of the responses received since the stream was
	// opened.
	receivedBytes int
	// preparedStatements holds the session's prepared statements by name.
	preparedStatements map[string]preparedStatement
	// batch collects the messages of the extended query protocol up to Sync or
	// Flush.
	batch []wire.Message
	// batchSize is the size of batch in bytes.
	batchSize int
	// skipToSync makes the session ignore messages up to the next Sync.
	skipToSync bool

	mu sync.Mutex
	// activeStream is the stream of the running statement.
	activeStream *peer.Stream
	// cancelDispatch cancels the running statement while it has no stream.
	cancelDispatch context.CancelFunc
	// busy is set while a statement, batch or transaction is in progress.
	busy bool
	// closing is set if the session is to be closed as soon as it isn't busy.
	closing bool
	// revoked is set if the session is to be closed because the bundle no longer
	// allows it.
	revoked bool
}

// newSession returns a session of caller w in a group, with the startup
// parameters applied.
func (s *Server) newSession(c net.Conn, u *bundle.Bundle, w *bundle.Caller, group string, params map[string]string) (*callerSession, error) {
	k, _ := bundle.ParseRank(w.Rank)
	n := &callerSession{
		server: s, conn: c, reader: wire.NewReader(c, u.Limits.StatementBytes), writer: wire.NewWriter(c),
		caller: w.Name, group: group, params: params, txStatus: statusIdle, settings: settings{rank: k},
		preparedStatements: map[string]preparedStatement{},
	}
	return n, n.applyStartup(params)
}

// run serves the session until it is closed.
func (n *callerSession) run(x context.Context) {
	defer n.closeStream()
	for n.mayContinue() {
		m, err := n.reader.Read()
		if err != nil {
			if !n.handleReadError(err) {
				return
			}
			continue
		}
		n.setBusy(true)
		if m.Type == wire.Terminate {
			return
		}
		if err := n.handleMessage(x, m); err != nil {
			n.server.config.Log.Debug("session failed", "caller", n.caller, "error", err)
			return
		}
		n.setBusy(n.txStatus != statusIdle || len(n.batch) > 0)
	}
	n.sendCloseReason()
}

// mayContinue reports whether the session may read another message.
func (n *callerSession) mayContinue() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.closing || n.busy
}

func (n *callerSession) setBusy(b bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.busy = b
}

// closeWhenIdle closes the session as soon as it isn't busy. A past read
// deadline ends the read of an idle session.
func (n *callerSession) closeWhenIdle() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closing = true
	if !n.busy {
		_ = n.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// sendCloseReason sends the caller the error that explains why the daemon closes
// the session.
func (n *callerSession) sendCloseReason() {
	n.mu.Lock()
	e := &RefusedError{Code: codeShutdown, Message: "the proxy is shutting down; connect again"}
	if n.revoked {
		e.Message = "the caller may not use this database any more"
	}
	n.mu.Unlock()
	n.sendError(e, true)
	_ = n.writer.Flush()
}

// handleReadError answers an oversized or malformed message, and reports
// whether the session's loop continues: after an oversized statement, or to
// close an idle session with an error to the caller.
func (n *callerSession) handleReadError(err error) bool {
	var l *wire.LengthError
	if errors.As(err, &l) && l.Max > 0 {
		n.refuseBatch(&RefusedError{Code: codeTooLarge, Message: "statement is too large: " + l.Error()}, l.Type == wire.Query)
		return n.writer.Flush() == nil
	}
	if errors.As(err, &l) {
		n.sendError(&RefusedError{Code: codeProtocol, Message: l.Error()}, true)
		_ = n.writer.Flush()
		return false
	}
	n.mu.Lock()
	c := n.closing && !n.busy
	n.mu.Unlock()
	return c
}

// cancelStatement cancels the running statement: through its owner if it has a
// stream.
func (n *callerSession) cancelStatement() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.activeStream != nil {
		_ = n.activeStream.Write(wire.Message{Type: peer.TypeCancel})
		_ = n.activeStream.Flush()
		return
	}
	if n.cancelDispatch != nil {
		n.cancelDispatch()
	}
}

func (n *callerSession) setActiveStream(t *peer.Stream) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.activeStream = t
}

// closeStream closes the stream of the open transaction, if there is one.
func (n *callerSession) closeStream() {
	if n.txStream != nil {
		_ = n.txStream.Close()
		n.txStream = nil
		n.txRoute.ReceivedBytes = n.receivedBytes
		n.server.config.Router.Release(n.txRoute)
	}
}

func (n *callerSession) handleMessage(x context.Context, m wire.Message) error {
	if n.skipToSync && m.Type != wire.Sync {
		return nil
	}
	switch m.Type {
	case wire.Query:
		if len(n.batch) > 0 {
			n.refuseBatch(simpleInBatchError(), true)
			return n.writer.Flush()
		}
		if err := n.runSimpleQuery(x, m); err != nil {
			return err
		}
		return n.writer.Flush()
	case wire.Sync:
		if n.skipToSync {
			n.skipToSync = false
			n.sendReady()
			return n.writer.Flush()
		}
		return n.addToBatch(x, m)
	case wire.Parse, wire.Bind, wire.Describe, wire.Execute, wire.Close, wire.Flush:
		return n.addToBatch(x, m)
	case wire.CopyData, wire.CopyDone, wire.CopyFail:
		return nil
	case wire.FunctionCall:
		n.refuseBatch(&RefusedError{Code: codeUnsupported, Message: "function calls by number are not supported"}, true)
		return n.writer.Flush()
	default:
		e := &RefusedError{Code: codeProtocol, Message: "unknown protocol message"}
		n.sendError(e, true)
		_ = n.writer.Flush()
		return e
	}
}

// send writes a message that the daemon itself produced.
func (n *callerSession) send(m pgproto3.BackendMessage) {
	b, err := m.Encode(nil)
	if err == nil {
		err = n.writer.WriteRaw(b)
	}
	if err != nil {
		n.server.config.Log.Debug("write to caller failed", "caller", n.caller, "error", err)
	}
}

func (n *callerSession) sendError(e *RefusedError, fatal bool) { n.send(e.response(fatal)) }

func (n *callerSession) sendReady() { n.send(&pgproto3.ReadyForQuery{TxStatus: n.txStatus}) }

// refuse answers a request with an error; an open transaction fails with it.
func (n *callerSession) refuse(e *RefusedError) {
	n.sendError(e, false)
	if n.txStatus != statusIdle {
		n.closeStream()
		n.txStatus = statusFailed
	}
}

// refuseBatch answers a simple query, or a batch up to its Sync, with an error.
func (n *callerSession) refuseBatch(e *RefusedError, simple bool) {
	n.refuse(e)
	n.batch, n.batchSize = nil, 0
	if simple {
		n.sendReady()
		return
	}
	n.skipToSync = true
}

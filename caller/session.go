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

// Statuses of a transaction as ReadyForQuery reports them.
const (
	statusIdle   = byte('I')
	statusOpen   = byte('T')
	statusFailed = byte('E')
)

// callerSession is one logged-in caller.
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
	// txStatus is what the last ReadyForQuery reported.
	txStatus byte
	// txStream is the stream of the open transaction; nil if there is none, or if
	// it failed and only waits to be rolled back.
	txStream *peer.Stream
	// txRoute is where open leads to.
	txRoute Route
	// receivedBytes counts the bytes of answers since the stream was opened.
	receivedBytes int
	// preparedStatements holds the Parse messages of prepared statements, by name.
	preparedStatements map[string]preparedStatement
	// batch collects the messages of an extended query until Sync.
	batch []wire.Message
	// batchSize is the size of batch in bytes.
	batchSize int
	// skipToSync ignores messages until Sync.
	skipToSync bool

	mu sync.Mutex
	// activeStream is the stream of the running statement.
	activeStream *peer.Stream
	// stopWait ends the running statement's wait.
	stopWait context.CancelFunc
	// busy tells that a statement or transaction runs.
	busy bool
	// closing tells that the session ends when it isn't busy.
	closing bool
	// revoked tells that it ends because the bundle doesn't allow it any more.
	revoked bool
}

func (s *Server) newSession(c net.Conn, u *bundle.Bundle, w *bundle.Caller, g string, p map[string]string) (*callerSession, error) {
	k, _ := bundle.ParseRank(w.Rank)
	n := &callerSession{
		server: s, conn: c, reader: wire.NewReader(c, u.Limits.StatementBytes), writer: wire.NewWriter(c),
		caller: w.Name, group: g, params: p, txStatus: statusIdle, settings: settings{rank: k},
		preparedStatements: map[string]preparedStatement{},
	}
	return n, n.applyStartup(p)
}

// run serves the session until it ends.
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
		if err := n.handle(x, m); err != nil {
			n.server.config.Log.Debug("session ends", "caller", n.caller, "error", err)
			return
		}
		n.setBusy(n.txStatus != statusIdle || len(n.batch) > 0)
	}
	n.sendCloseReason()
}

// mayContinue reports whether the session may wait for the next message.
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

// closeWhenIdle ends the session as soon as it is not busy.
func (n *callerSession) closeWhenIdle() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closing = true
	if !n.busy {
		_ = n.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

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

// handleReadError answers an oversized message and reports whether to go on.
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

// cancel ends the running statement.
func (n *callerSession) cancel() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.activeStream != nil {
		_ = n.activeStream.Write(wire.Message{Type: peer.TypeCancel})
		_ = n.activeStream.Flush()
		return
	}
	if n.stopWait != nil {
		n.stopWait()
	}
}

func (n *callerSession) setActive(t *peer.Stream) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.activeStream = t
}

func (n *callerSession) closeStream() {
	if n.txStream != nil {
		_ = n.txStream.Close()
		n.txStream = nil
		n.txRoute.ReceivedBytes = n.receivedBytes
		n.server.config.Router.Release(n.txRoute)
	}
}

func (n *callerSession) handle(x context.Context, m wire.Message) error {
	if n.skipToSync && m.Type != wire.Sync {
		return nil
	}
	switch m.Type {
	case wire.Query:
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

// send writes a message of the proxy's own.
func (n *callerSession) send(m pgproto3.BackendMessage) {
	b, err := m.Encode(nil)
	if err == nil {
		err = n.writer.WriteRaw(b)
	}
	if err != nil {
		n.server.config.Log.Debug("answer not written", "caller", n.caller, "error", err)
	}
}

func (n *callerSession) sendError(e *RefusedError, fatal bool) { n.send(e.response(fatal)) }

func (n *callerSession) sendReady() { n.send(&pgproto3.ReadyForQuery{TxStatus: n.txStatus}) }

// refuseLogin answers a request that was not served: an open transaction fails.
func (n *callerSession) refuse(e *RefusedError) {
	n.sendError(e, false)
	if n.txStatus != statusIdle {
		n.closeStream()
		n.txStatus = statusFailed
	}
}

// refuseBatch refuses a simple query, or an extended one up to its Sync.
func (n *callerSession) refuseBatch(e *RefusedError, simple bool) {
	n.refuse(e)
	n.batch, n.batchSize = nil, 0
	if simple {
		n.sendReady()
		return
	}
	n.skipToSync = true
}

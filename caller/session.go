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

// client is one logged-in caller.
type client struct {
	s      *Server
	n      net.Conn
	r      *wire.Reader
	w      *wire.Writer
	key    cancelKey
	name   string
	group  string
	params map[string]string
	set    settings
	floor  session.Floor
	// status is what the last ReadyForQuery reported.
	status byte
	// open is the stream of the open transaction; nil if there is none, or if
	// it failed and only waits to be rolled back.
	open *peer.Stream
	// route is where open leads to.
	route Route
	// received counts the bytes of answers since the stream was opened.
	received int
	// prepared holds the Parse messages of prepared statements, by name.
	prepared map[string]parsed
	// batch collects the messages of an extended query until Sync.
	batch []wire.Message
	// batchSize is the size of batch in bytes.
	batchSize int
	// skip ignores messages until Sync.
	skip bool

	mu sync.Mutex
	// active is the stream of the running statement.
	active *peer.Stream
	// stop ends the running statement's wait.
	stop context.CancelFunc
	// busy tells that a statement or transaction runs.
	busy bool
	// leaving tells that the session ends when it isn't busy.
	leaving bool
	// revoked tells that it ends because the bundle doesn't allow it any more.
	revoked bool
}

func (s *Server) newSession(c net.Conn, u *bundle.Bundle, w *bundle.Caller, g string, p map[string]string) (*client, error) {
	k, _ := bundle.ParseRank(w.Rank)
	n := &client{
		s: s, n: c, r: wire.NewReader(c, u.Limits.StatementBytes), w: wire.NewWriter(c),
		name: w.Name, group: g, params: p, status: statusIdle, set: settings{rank: k},
		prepared: map[string]parsed{},
	}
	return n, n.applyStartup(p)
}

// run serves the session until it ends.
func (n *client) run(x context.Context) {
	defer n.closeStream()
	for n.enter() {
		m, err := n.r.Read()
		if err != nil {
			if !n.unreadable(err) {
				return
			}
			continue
		}
		n.setBusy(true)
		if m.Type == wire.Terminate {
			return
		}
		if err := n.handle(x, m); err != nil {
			n.s.c.Log.Debug("session ends", "caller", n.name, "error", err)
			return
		}
		n.setBusy(n.status != statusIdle || len(n.batch) > 0)
	}
	n.farewell()
}

// enter reports whether the session may wait for the next message.
func (n *client) enter() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.leaving || n.busy
}

func (n *client) setBusy(b bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.busy = b
}

// leave ends the session as soon as it is not busy.
func (n *client) leave() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaving = true
	if !n.busy {
		_ = n.n.SetReadDeadline(time.Unix(1, 0))
	}
}

func (n *client) farewell() {
	n.mu.Lock()
	e := &RefusedError{Code: codeShutdown, Message: "the proxy is shutting down; connect again"}
	if n.revoked {
		e.Message = "the caller may not use this database any more"
	}
	n.mu.Unlock()
	n.fail(e, true)
	_ = n.w.Flush()
}

// unreadable answers an oversized message and reports whether to go on.
func (n *client) unreadable(err error) bool {
	var l *wire.LengthError
	if errors.As(err, &l) && l.Max > 0 {
		n.refuseBatch(&RefusedError{Code: codeTooLarge, Message: "statement is too large: " + l.Error()}, l.Type == wire.Query)
		return n.w.Flush() == nil
	}
	if errors.As(err, &l) {
		n.fail(&RefusedError{Code: codeProtocol, Message: l.Error()}, true)
		_ = n.w.Flush()
		return false
	}
	n.mu.Lock()
	l2 := n.leaving && !n.busy
	n.mu.Unlock()
	return l2
}

// cancel ends the running statement.
func (n *client) cancel() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.active != nil {
		_ = n.active.Write(wire.Message{Type: peer.TypeCancel})
		_ = n.active.Flush()
		return
	}
	if n.stop != nil {
		n.stop()
	}
}

func (n *client) setActive(t *peer.Stream) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.active = t
}

func (n *client) closeStream() {
	if n.open != nil {
		_ = n.open.Close()
		n.open = nil
		n.route.Received = n.received
		n.s.c.Router.Ended(n.route)
	}
}

func (n *client) handle(x context.Context, m wire.Message) error {
	if n.skip && m.Type != wire.Sync {
		return nil
	}
	switch m.Type {
	case wire.Query:
		if err := n.simple(x, m); err != nil {
			return err
		}
		return n.w.Flush()
	case wire.Sync:
		if n.skip {
			n.skip = false
			n.ready()
			return n.w.Flush()
		}
		return n.extend(x, m)
	case wire.Parse, wire.Bind, wire.Describe, wire.Execute, wire.Close, wire.Flush:
		return n.extend(x, m)
	case wire.CopyData, wire.CopyDone, wire.CopyFail:
		return nil
	case wire.FunctionCall:
		n.refuseBatch(&RefusedError{Code: codeUnsupported, Message: "function calls by number are not supported"}, true)
		return n.w.Flush()
	default:
		e := &RefusedError{Code: codeProtocol, Message: "unknown protocol message"}
		n.fail(e, true)
		_ = n.w.Flush()
		return e
	}
}

// send writes a message of the proxy's own.
func (n *client) send(m pgproto3.BackendMessage) {
	b, err := m.Encode(nil)
	if err == nil {
		err = n.w.WriteRaw(b)
	}
	if err != nil {
		n.s.c.Log.Debug("answer not written", "caller", n.name, "error", err)
	}
}

func (n *client) fail(e *RefusedError, fatal bool) { n.send(e.response(fatal)) }

func (n *client) ready() { n.send(&pgproto3.ReadyForQuery{TxStatus: n.status}) }

// refuse answers a request that was not served: an open transaction fails.
func (n *client) refuse(e *RefusedError) {
	n.fail(e, false)
	if n.status != statusIdle {
		n.closeStream()
		n.status = statusFailed
	}
}

// refuseBatch refuses a simple query, or an extended one up to its Sync.
func (n *client) refuseBatch(e *RefusedError, simple bool) {
	n.refuse(e)
	n.batch, n.batchSize = nil, 0
	if simple {
		n.ready()
		return
	}
	n.skip = true
}

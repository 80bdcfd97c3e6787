package database

import (
	"context"
	"database/sql"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/dragonflypick/dragonflypick/statement"
)

// session is the connection of a client: a daemon or a replica.
type session struct {
	member  *Member
	netConn net.Conn
	backend *pgproto3.Backend
	// silent is true once the session has permanently stopped answering.
	silent atomic.Bool
	// terminated is closed by terminateSession and ends the wait of a silent
	// session; ended is closed when the session has ended.
	terminated    chan struct{}
	terminateOnce sync.Once
	ended         chan struct{}

	mu sync.Mutex
	// cancelStatement cancels the running statement; nil between statements.
	cancelStatement context.CancelFunc

	// engineConn is the connection to the database engine; nil until a statement
	// needs it.
	engineConn *sql.Conn
	// inTransaction is true while a transaction is open; transactionFailed is true if
	// it can only be rolled back.
	inTransaction     bool
	transactionFailed bool
	// explicitBegin is true if the client opened the transaction with BEGIN.
	explicitBegin bool
	// engineTransaction is true if the transaction is open in the engine as well; the
	// first statement after BEGIN opens it there.
	engineTransaction bool
	// engineDB is the member's database that engineConn belongs to.
	engineDB *sql.DB
	// idleTimeout limits the wait for the next message in the open transaction;
	// zero means no limit.
	idleTimeout time.Duration
	// holdsWriteLock is true while the transaction holds the member's write lock.
	holdsWriteLock bool
	// writeLockRequested is true while it holds that lock or waits for it.
	writeLockRequested atomic.Bool
	// epoch is the member's epoch when the transaction began.
	epoch uint64
	// pendingWrites are the writes of the open transaction, for the log.
	pendingWrites []loggedStatement
	// skipToSync is true while messages are ignored until Sync, after an error in the
	// extended protocol.
	skipToSync bool
	prepared   map[string]string
	portals    map[string]*portal
	pid        uint32
}

// portal is a bound statement.
type portal struct {
	sql  string
	args []value
	// resultFormats are the requested formats of the columns.
	resultFormats []int16
	// result is nil until the portal is executed; a suspended portal continues
	// with it.
	result *result
}

var nextPID atomic.Uint32

func newSession(m *Member, n net.Conn) *session {
	return &session{
		member: m, netConn: n, backend: pgproto3.NewBackend(n, n),
		terminated: make(chan struct{}), ended: make(chan struct{}),
		prepared: map[string]string{}, portals: map[string]*portal{}, pid: nextPID.Add(1),
	}
}

// run handles the session's messages until its connection ends.
func (s *session) run(c context.Context) {
	x := context.AfterFunc(c, func() { _ = s.netConn.Close() })
	defer x()
	defer close(s.ended)
	defer func() { _ = s.netConn.Close() }()
	ok, err := s.startup(c)
	if err != nil || !ok {
		return
	}
	defer s.unregister()
	for {
		s.setReadDeadline()
		m, err := s.backend.Receive()
		if err != nil {
			return
		}
		s.member.awaitUnfrozen(c)
		if s.silent.Load() {
			s.discardInput(c)
			return
		}
		if !s.handleMessage(c, m) {
			return
		}
	}
}

// startup handles the startup packets and logs the client in. It reports whether
// the session may run statements.
func (s *session) startup(c context.Context) (bool, error) {
	for {
		f, err := s.backend.ReceiveStartupMessage()
		if err != nil {
			return false, Error.Wrap(err)
		}
		s.member.awaitUnfrozen(c)
		switch x := f.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := s.netConn.Write([]byte("N")); err != nil {
				return false, Error.Wrap(err)
			}
		case *pgproto3.CancelRequest:
			s.member.interruptStatement(x.ProcessID)
			return false, nil
		case *pgproto3.StartupMessage:
			return s.login(c, x)
		default:
			return false, nil
		}
	}
}

// login registers and authenticates the client and sends the parameters of the
// session. It reports whether the session may run statements.
func (s *session) login(c context.Context, x *pgproto3.StartupMessage) (bool, error) {
	if !s.register(x.Parameters["user"] == "replication") {
		s.sendError(&StatementError{Code: codeTooManyConnections, Message: "sorry, too many clients already"})
		return false, s.backend.Flush()
	}
	if s.member.config.Password != "" {
		if err := s.authenticate(); err != nil {
			s.unregister()
			s.sendError(err)
			return false, s.backend.Flush()
		}
	}
	sleep(c, s.member.config.ConnectCost)
	s.backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range [][2]string{{"server_version", "16.0 (dragonflypick stand-in)"}, {"server_encoding", "UTF8"}, {"client_encoding", "UTF8"}, {"DateStyle", "ISO, MDY"}, {"integer_datetimes", "on"}, {"standard_conforming_strings", "on"}} {
		s.backend.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: []byte{0, 0, 0, 1}})
	s.sendReady()
	return true, s.backend.Flush()
}

func (s *session) authenticate() error {
	s.backend.Send(&pgproto3.AuthenticationCleartextPassword{})
	if err := s.backend.Flush(); err != nil {
		return Error.Wrap(err)
	}
	if err := s.backend.SetAuthType(pgproto3.AuthTypeCleartextPassword); err != nil {
		return Error.Wrap(err)
	}
	m, err := s.backend.Receive()
	if err != nil {
		return Error.Wrap(err)
	}
	p, ok := m.(*pgproto3.PasswordMessage)
	if !ok || p.Password != s.member.config.Password {
		return &StatementError{Code: codeInvalidPassword, Message: "password authentication failed"}
	}
	return nil
}

// register adds the session to the member's connections. It returns false if
// the limit is reached, which doesn't apply to replicas.
func (s *session) register(replication bool) bool {
	s.member.mu.Lock()
	defer s.member.mu.Unlock()
	if !replication && len(s.member.sessions) >= s.member.config.MaxConnections {
		return false
	}
	s.member.sessions[s] = struct{}{}
	return true
}

// unregister removes the session from the member's connections, rolls its
// transaction back and closes its connection to the engine.
func (s *session) unregister() {
	s.member.mu.Lock()
	delete(s.member.sessions, s)
	s.member.mu.Unlock()
	s.dropPortals()
	s.rollback()
	if s.engineConn != nil {
		_ = s.engineConn.Close()
	}
}

// interruptStatement cancels the running statement.
func (s *session) interruptStatement() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancelStatement != nil {
		s.cancelStatement()
	}
}

// interruptStatement cancels the running statement of the session with the given
// process ID.
func (m *Member) interruptStatement(pid uint32) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for s := range m.sessions {
		if s.pid == pid {
			s.interruptStatement()
		}
	}
}

// handleMessage handles a message and reports whether the session continues.
func (s *session) handleMessage(c context.Context, m pgproto3.FrontendMessage) bool {
	if s.skipToSync {
		if _, ok := m.(*pgproto3.Sync); !ok {
			return true
		}
	}
	var err error
	switch x := m.(type) {
	case *pgproto3.Query:
		s.runSimpleQuery(c, x.String)
		return s.flush(c) == nil
	case *pgproto3.Sync:
		s.skipToSync = false
		if s.inTransaction && !s.inExplicitTransaction() {
			err = s.commit(c)
		}
		if err != nil {
			s.sendError(err)
		}
		s.sendReady()
		return s.flush(c) == nil
	case *pgproto3.Flush:
		return s.flush(c) == nil
	case *pgproto3.Terminate:
		return false
	case *pgproto3.Parse:
		s.prepared[x.Name] = x.Query
		s.backend.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		err = s.bind(x)
	case *pgproto3.Describe:
		err = s.describe(c, x)
	case *pgproto3.Execute:
		err = s.executePortal(c, x)
	case *pgproto3.Close:
		s.closeStatementOrPortal(x)
	default:
		err = &StatementError{Code: codeProtocol, Message: "unsupported protocol message"}
	}
	if err != nil {
		s.sendError(err)
		s.failTransaction()
		s.skipToSync = true
	}
	return true
}

func (s *session) closeStatementOrPortal(x *pgproto3.Close) {
	if x.ObjectType == 'S' {
		delete(s.prepared, x.Name)
	} else {
		s.dropPortal(x.Name)
	}
	s.backend.Send(&pgproto3.CloseComplete{})
}

func (s *session) bind(x *pgproto3.Bind) error {
	q, ok := s.prepared[x.PreparedStatement]
	if !ok {
		return &StatementError{Code: "26000", Message: "prepared statement " + strconv.Quote(x.PreparedStatement) + " does not exist"}
	}
	for _, f := range x.ParameterFormatCodes {
		if f != 0 {
			return &StatementError{Code: "0A000", Message: "stand-in takes parameters in text format only"}
		}
	}
	s.dropPortal(x.DestinationPortal)
	p := &portal{sql: q, resultFormats: append([]int16(nil), x.ResultFormatCodes...)}
	for _, v := range x.Parameters {
		p.args = append(p.args, parseValue(v))
	}
	s.portals[x.DestinationPortal] = p
	s.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (s *session) dropPortal(n string) {
	if p, ok := s.portals[n]; ok && p.result != nil {
		p.result.close()
	}
	delete(s.portals, n)
}

func (s *session) dropPortals() {
	for n := range s.portals {
		s.dropPortal(n)
	}
}

func (s *session) sendReady() {
	t := byte('I')
	switch {
	case s.inTransaction && s.transactionFailed:
		t = 'E'
	case s.inTransaction:
		t = 'T'
	default:
		s.dropPortals()
	}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: t})
}

// flush sends the buffered messages once the member isn't frozen. A silent session
// first discards input, as in discardInput.
func (s *session) flush(c context.Context) error {
	s.member.awaitUnfrozen(c)
	if s.silent.Load() {
		s.discardInput(c)
	}
	return s.backend.Flush()
}

func (s *session) sendError(err error) {
	e := toStatementError(err)
	s.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: e.Code, Message: e.Message})
}

// runSimpleQuery runs a simple query, which may contain several statements.
func (s *session) runSimpleQuery(c context.Context, q string) {
	l := statement.Split(q)
	if len(l) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for _, x := range l {
		p := &portal{sql: x}
		if err := s.startPortal(c, p, len(l) > 1); err != nil {
			s.sendError(err)
			s.failTransaction()
			s.sendReady()
			return
		}
		if p.result != nil && p.result.fields != nil {
			s.backend.Send(&pgproto3.RowDescription{Fields: p.result.fields})
		}
		if _, err := s.sendRows(c, p, 0); err != nil {
			s.sendError(err)
			s.failTransaction()
			s.sendReady()
			return
		}
	}
	if s.inTransaction && !s.inExplicitTransaction() {
		if err := s.commit(c); err != nil {
			s.sendError(err)
		}
	}
	s.sendReady()
}

// takeSlot takes one of the member's slots and waits for the cost of a statement.
// The returned function releases the slot.
func (s *session) takeSlot(c context.Context) (func(), error) {
	select {
	case s.member.slots <- struct{}{}:
	case <-c.Done():
		return nil, Error.Wrap(c.Err())
	}
	if s.member.config.StatementCost > 0 {
		sleep(c, s.member.config.StatementCost)
	}
	return func() { <-s.member.slots }, nil
}

// writeLockTimeout limits the wait for the member's write lock.
const writeLockTimeout = 30 * time.Second

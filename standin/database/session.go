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

// session is one connection of a caller.
type session struct {
	m *Member
	n net.Conn
	b *pgproto3.Backend
	// silent makes the session stop reading and writing for good.
	silent atomic.Bool
	// killed is closed when the session is to end, gone when it has ended.
	killed chan struct{}
	kill   sync.Once
	gone   chan struct{}

	mu sync.Mutex
	// cancel ends the statement that runs; nil between statements.
	cancel context.CancelFunc

	conn *sql.Conn
	// open tells that a transaction is open; failed that it can only roll back.
	open   bool
	failed bool
	// began tells that the caller opened the transaction by BEGIN.
	began bool
	// engine tells that the engine has a transaction open.
	engine bool
	// db is the member's database that conn belongs to.
	db *sql.DB
	// idle is how long the open transaction may wait for a message; zero means
	// any time.
	idle time.Duration
	// writing tells that the transaction holds the writer token.
	writing bool
	// wants tells that it holds or waits for that token.
	wants atomic.Bool
	// epoch is the member's epoch when the transaction began.
	epoch uint64
	// pending are the writes of the open transaction.
	pending []command
	// skip ignores messages until Sync, after an error.
	skip    bool
	parsed  map[string]string
	portals map[string]*portal
	pid     uint32
}

// portal is a bound statement.
type portal struct {
	sql  string
	args []value
	// formats are the wanted result formats.
	formats []int16
	// run continues a suspended portal.
	run *running
}

var nextPID atomic.Uint32

func newSession(m *Member, n net.Conn) *session {
	return &session{
		m: m, n: n, b: pgproto3.NewBackend(n, n),
		killed: make(chan struct{}), gone: make(chan struct{}),
		parsed: map[string]string{}, portals: map[string]*portal{}, pid: nextPID.Add(1),
	}
}

// run serves the connection until it ends.
func (s *session) run(c context.Context) {
	x := context.AfterFunc(c, func() { _ = s.n.Close() })
	defer x()
	defer close(s.gone)
	defer func() { _ = s.n.Close() }()
	ok, err := s.startup(c)
	if err != nil || !ok {
		return
	}
	defer s.leave()
	for {
		s.awaitMessage()
		m, err := s.b.Receive()
		if err != nil {
			return
		}
		s.m.thawed(c)
		if s.silent.Load() {
			s.hang(c)
			return
		}
		if !s.handle(c, m) {
			return
		}
	}
}

// startup reads the start-up packet and logs the caller in.
func (s *session) startup(c context.Context) (bool, error) {
	for {
		f, err := s.b.ReceiveStartupMessage()
		if err != nil {
			return false, Error.Wrap(err)
		}
		s.m.thawed(c)
		switch x := f.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := s.n.Write([]byte("N")); err != nil {
				return false, Error.Wrap(err)
			}
		case *pgproto3.CancelRequest:
			s.m.cancelSession(x.ProcessID)
			return false, nil
		case *pgproto3.StartupMessage:
			return s.login(c, x)
		default:
			return false, nil
		}
	}
}

func (s *session) login(c context.Context, x *pgproto3.StartupMessage) (bool, error) {
	if !s.join(x.Parameters["user"] == "replication") {
		s.fail(&StatementError{Code: codeTooMany, Message: "sorry, too many clients already"})
		return false, s.b.Flush()
	}
	if s.m.c.Password != "" {
		if err := s.password(); err != nil {
			s.leave()
			s.fail(err)
			return false, s.b.Flush()
		}
	}
	pause(c, s.m.c.ConnectCost)
	s.b.Send(&pgproto3.AuthenticationOk{})
	for _, p := range [][2]string{{"server_version", "16.0 (dragonflypick stand-in)"}, {"server_encoding", "UTF8"}, {"client_encoding", "UTF8"}, {"DateStyle", "ISO, MDY"}, {"integer_datetimes", "on"}, {"standard_conforming_strings", "on"}} {
		s.b.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	s.b.Send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: []byte{0, 0, 0, 1}})
	s.ready()
	return true, s.b.Flush()
}

func (s *session) password() error {
	s.b.Send(&pgproto3.AuthenticationCleartextPassword{})
	if err := s.b.Flush(); err != nil {
		return Error.Wrap(err)
	}
	if err := s.b.SetAuthType(pgproto3.AuthTypeCleartextPassword); err != nil {
		return Error.Wrap(err)
	}
	m, err := s.b.Receive()
	if err != nil {
		return Error.Wrap(err)
	}
	p, ok := m.(*pgproto3.PasswordMessage)
	if !ok || p.Password != s.m.c.Password {
		return &StatementError{Code: codePassword, Message: "password authentication failed"}
	}
	return nil
}

// join takes a place among the member's connections. Replication doesn't
// count.
func (s *session) join(replication bool) bool {
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	if !replication && len(s.m.sessions) >= s.m.c.MaxConnections {
		return false
	}
	s.m.sessions[s] = struct{}{}
	return true
}

func (s *session) leave() {
	s.m.mu.Lock()
	delete(s.m.sessions, s)
	s.m.mu.Unlock()
	s.dropPortals()
	s.rollback()
	if s.conn != nil {
		_ = s.conn.Close()
	}
}

// interrupt ends the running statement.
func (s *session) interrupt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		s.cancel()
	}
}

func (m *Member) cancelSession(pid uint32) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for s := range m.sessions {
		if s.pid == pid {
			s.interrupt()
		}
	}
}

func (s *session) handle(c context.Context, m pgproto3.FrontendMessage) bool {
	if s.skip {
		if _, ok := m.(*pgproto3.Sync); !ok {
			return true
		}
	}
	var err error
	switch x := m.(type) {
	case *pgproto3.Query:
		s.query(c, x.String)
		return s.flush(c) == nil
	case *pgproto3.Sync:
		s.skip = false
		if s.open && !s.explicit() {
			err = s.finish(c)
		}
		if err != nil {
			s.fail(err)
		}
		s.ready()
		return s.flush(c) == nil
	case *pgproto3.Flush:
		return s.flush(c) == nil
	case *pgproto3.Terminate:
		return false
	case *pgproto3.Parse:
		s.parsed[x.Name] = x.Query
		s.b.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		err = s.bind(x)
	case *pgproto3.Describe:
		err = s.describe(c, x)
	case *pgproto3.Execute:
		err = s.execute(c, x)
	case *pgproto3.Close:
		s.closeObject(x)
	default:
		err = &StatementError{Code: codeProtocol, Message: "unsupported protocol message"}
	}
	if err != nil {
		s.fail(err)
		s.abort()
		s.skip = true
	}
	return true
}

func (s *session) closeObject(x *pgproto3.Close) {
	if x.ObjectType == 'S' {
		delete(s.parsed, x.Name)
	} else {
		s.dropPortal(x.Name)
	}
	s.b.Send(&pgproto3.CloseComplete{})
}

func (s *session) bind(x *pgproto3.Bind) error {
	q, ok := s.parsed[x.PreparedStatement]
	if !ok {
		return &StatementError{Code: "26000", Message: "prepared statement " + strconv.Quote(x.PreparedStatement) + " does not exist"}
	}
	for _, f := range x.ParameterFormatCodes {
		if f != 0 {
			return &StatementError{Code: "0A000", Message: "stand-in takes parameters in text format only"}
		}
	}
	s.dropPortal(x.DestinationPortal)
	p := &portal{sql: q, formats: append([]int16(nil), x.ResultFormatCodes...)}
	for _, v := range x.Parameters {
		p.args = append(p.args, parseValue(v))
	}
	s.portals[x.DestinationPortal] = p
	s.b.Send(&pgproto3.BindComplete{})
	return nil
}

func (s *session) dropPortal(n string) {
	if p, ok := s.portals[n]; ok && p.run != nil {
		p.run.close()
	}
	delete(s.portals, n)
}

func (s *session) dropPortals() {
	for n := range s.portals {
		s.dropPortal(n)
	}
}

func (s *session) ready() {
	t := byte('I')
	switch {
	case s.open && s.failed:
		t = 'E'
	case s.open:
		t = 'T'
	default:
		s.dropPortals()
	}
	s.b.Send(&pgproto3.ReadyForQuery{TxStatus: t})
}

func (s *session) flush(c context.Context) error {
	s.m.thawed(c)
	if s.silent.Load() {
		s.hang(c)
	}
	return s.b.Flush()
}

func (s *session) fail(err error) {
	e := stateOf(err)
	s.b.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: e.Code, Message: e.Message})
}

// query runs a simple query, which may hold several statements.
func (s *session) query(c context.Context, q string) {
	l := statement.Split(q)
	if len(l) == 0 {
		s.b.Send(&pgproto3.EmptyQueryResponse{})
	}
	for _, x := range l {
		p := &portal{sql: x}
		if err := s.start(c, p, len(l) > 1); err != nil {
			s.fail(err)
			s.abort()
			s.ready()
			return
		}
		if p.run != nil && p.run.fields != nil {
			s.b.Send(&pgproto3.RowDescription{Fields: p.run.fields})
		}
		if _, err := s.step(c, p, 0); err != nil {
			s.fail(err)
			s.abort()
			s.ready()
			return
		}
	}
	if s.open && !s.explicit() {
		if err := s.finish(c); err != nil {
			s.fail(err)
		}
	}
	s.ready()
}

// slot takes one of the member's slots and spends the cost of a statement.
func (s *session) slot(c context.Context) (func(), error) {
	select {
	case s.m.slots <- struct{}{}:
	case <-c.Done():
		return nil, Error.Wrap(c.Err())
	}
	if s.m.c.StatementCost > 0 {
		pause(c, s.m.c.StatementCost)
	}
	return func() { <-s.m.slots }, nil
}

// deadline bounds the wait for the writer token.
const deadline = 30 * time.Second

// Package backend connects to backend servers, the members of database groups.
//
// In addition to the PostgreSQL protocol, a member must provide:
//
//   - member_status() returns its role, term, position, the primary that it
//     follows, and the time since it last received data from that primary;
//   - fence(term, holder) succeeds for one holder per term, ends the open
//     transactions and refuses lower terms from then on;
//   - promote(term, holder) makes a member that the holder has fenced primary
//     and adds an entry of the new term to its log;
//   - follow(term, primary) makes it replicate from that primary;
//   - log_holds(position) returns whether the log holds the entry at a position,
//     and the status of the same moment;
//   - terminate_session(pid, milliseconds) ends a session, rolls back its open
//     transaction, and returns whether the session ended in time or did not
//     exist (on PostgreSQL: pg_terminate_backend);
//   - session_idle(pid) returns whether a session runs no statement or has ended
//     (on PostgreSQL: pg_stat_activity);
//   - the parameter member_position is reported before the CommandComplete of
//     a commit that wrote;
//   - a replica whose log differs from that of its primary keeps and reports its
//     own log until it holds the complete log of the primary. Otherwise an entry
//     that was on a majority could be lost from a member that may still be
//     promoted.
package backend

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/zeebo/errs"

	"github.com/dragonflypick/dragonflypick/peek"
	"github.com/dragonflypick/dragonflypick/wire"
)

// Error is the class of all errors of this package.
var Error = errs.Class("backend")

// PositionParameter is the parameter that a member reports after a commit.
const PositionParameter = "member_position"

// Timeouts of connections.
const (
	// ConnectTimeout bounds connecting and logging in.
	ConnectTimeout = 700 * time.Millisecond
	// CallTimeout bounds a status call on an open connection.
	CallTimeout = 500 * time.Millisecond
	// tcpKeepAlive is the interval of TCP keep-alive probes, which detect
	// connections whose other end has disappeared.
	tcpKeepAlive = 15 * time.Second
)

// Config holds the settings of a connection.
type Config struct {
	// Address is the IP address and port of the backend server.
	Address string
	// User and Password are for the login.
	User     string
	Password string
	// Database is the database's name.
	Database string
}

// Conn is a logged-in connection for statements.
type Conn struct {
	net.Conn
	// Reader reads protocol messages.
	Reader *wire.Reader
	// Writer writes protocol messages.
	Writer *wire.Writer
	// LastReply is when the backend server last replied on the connection.
	LastReply time.Time
	socket    *peek.Socket
	pid       uint32
	cancelKey []byte
	config    Config
}

// Connect opens a connection for statements.
func Connect(x context.Context, c Config) (*Conn, error) {
	p, err := login(x, c)
	if err != nil {
		return nil, err
	}
	h, err := p.Hijack()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &Conn{
		Conn: h.Conn, Reader: wire.NewReader(h.Conn, wire.MaxBodySize), Writer: wire.NewWriter(h.Conn),
		socket: peek.New(h.Conn), pid: h.PID, cancelKey: h.SecretKey, config: c, LastReply: time.Now(),
	}, nil
}

func login(x context.Context, c Config) (*pgconn.PgConn, error) {
	x, stop := context.WithTimeout(x, ConnectTimeout)
	defer stop()
	f, err := pgconn.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	h, port, err := net.SplitHostPort(c.Address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	n, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	f.Host, f.Port, f.User, f.Password, f.Database = h, uint16(n), c.User, c.Password, c.Database
	f.Fallbacks, f.RuntimeParams = nil, map[string]string{"application_name": "dragonflypick"}
	f.DialFunc = (&net.Dialer{KeepAlive: tcpKeepAlive}).DialContext
	p, err := pgconn.ConnectConfig(x, f)
	return p, Error.Wrap(err)
}

// PID returns the session's process ID at the backend server.
func (c *Conn) PID() uint32 { return c.pid }

// Cancel sends a cancel request for the statement that runs on the connection.
func (c *Conn) Cancel(x context.Context) error {
	x, stop := context.WithTimeout(x, ConnectTimeout)
	defer stop()
	n, err := (&net.Dialer{}).DialContext(x, "tcp", c.config.Address)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = n.Close() }()
	b, err := (&pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.cancelKey}).Encode(nil)
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = n.Write(b)
	return Error.Wrap(err)
}

// Ping sends a Sync message on an idle connection and waits for ReadyForQuery.
func (c *Conn) Ping(timeout time.Duration) error {
	if err := c.CheckRest(); err != nil {
		return err
	}
	if err := c.SetDeadline(time.Now().Add(timeout)); err != nil {
		return Error.Wrap(err)
	}
	if err := c.Writer.Write(wire.Message{Type: wire.Sync}); err != nil {
		return Error.Wrap(err)
	}
	if err := c.Writer.Flush(); err != nil {
		return Error.Wrap(err)
	}
	for {
		m, err := c.Reader.Read()
		if err != nil {
			return Error.Wrap(err)
		}
		if m.Type == wire.ReadyForQuery {
			c.LastReply = time.Now()
			return Error.Wrap(c.SetDeadline(time.Time{}))
		}
		if !IsAsynchronous(m.Type) {
			return Error.Wrap(&UnsolicitedError{Type: m.Type})
		}
	}
}

package backend

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/dragonflypick/dragonflypick/failover"
	"github.com/dragonflypick/dragonflypick/logpos"
)

// Control is a connection that queries a member's status and changes its role. It
// is safe for concurrent use; calls run one at a time.
type Control struct {
	config Config
	mu     sync.Mutex
	conn   *pgconn.PgConn
	// abandoned is the process ID of the session of a connection that didn't answer
	// and was closed; zero if there is none.
	abandoned uint32
}

// NewControl returns a Control that connects when it is first used.
func NewControl(c Config) *Control { return &Control{config: c} }

// Close ends the connection.
func (c *Control) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disconnect()
}

func (c *Control) disconnect() {
	if c.conn != nil {
		_ = c.conn.Conn().Close()
		c.conn = nil
	}
}

// Status returns the member's status. If the open connection doesn't answer, a
// new one is tried, so that an error means a fault of the member and not of a
// single connection.
func (c *Control) Status(x context.Context) (failover.Status, error) {
	return c.queryStatus(x, "SELECT * FROM member_status()")
}

// LogHolds reports whether the member's log holds the entry at a position, and
// returns the member's status at the same moment.
func (c *Control) LogHolds(x context.Context, p logpos.Position) (bool, failover.Status, error) {
	r, err := c.exec(x, "SELECT * FROM log_holds("+quoteLiteral(p.String())+")")
	if err != nil {
		return false, failover.Status{}, err
	}
	s, err := singleStatus(r)
	if err != nil {
		return false, s, err
	}
	for i, f := range r.FieldDescriptions {
		if f.Name == "holds" {
			h, err := strconv.ParseBool(string(r.Rows[0][i]))
			return h, s, Error.Wrap(err)
		}
	}
	return false, s, Error.Wrap(&ReplyError{Reason: "no column holds"})
}

// TerminateSession ends the session with process ID pid, rolls back its open
// transaction, and reports whether the session has certainly ended.
func (c *Control) TerminateSession(x context.Context, pid uint32) (bool, error) {
	r, err := c.exec(x, terminateCall(pid))
	if err != nil {
		return false, err
	}
	if len(r.Rows) != 1 || len(r.Rows[0]) != 1 {
		return false, Error.Wrap(&ReplyError{Reason: "no row"})
	}
	b, err := strconv.ParseBool(string(r.Rows[0][0]))
	return b, Error.Wrap(err)
}

// terminateCall returns the call that ends a session.
func terminateCall(pid uint32) string {
	return "SELECT * FROM terminate_session(" + strconv.FormatUint(uint64(pid), 10) + ", " + strconv.FormatInt((CallTimeout/2).Milliseconds(), 10) + ")"
}

// SessionIdle reports whether the session with process ID pid runs no statement
// or has ended.
func (c *Control) SessionIdle(x context.Context, pid uint32) (bool, error) {
	r, err := c.exec(x, "SELECT * FROM session_idle("+strconv.FormatUint(uint64(pid), 10)+")")
	if err != nil {
		return false, err
	}
	if len(r.Rows) != 1 || len(r.Rows[0]) != 1 {
		return false, Error.Wrap(&ReplyError{Reason: "no row"})
	}
	b, err := strconv.ParseBool(string(r.Rows[0][0]))
	return b, Error.Wrap(err)
}

// Query runs a read-only statement and returns its rows.
func (c *Control) Query(x context.Context, q string) ([][][]byte, error) {
	r, err := c.exec(x, q)
	if err != nil {
		return nil, err
	}
	return r.Rows, nil
}

// Fence makes the member refuse all terms below t.
func (c *Control) Fence(x context.Context, t uint64, holder string) (failover.Status, error) {
	return c.queryStatus(x, "SELECT * FROM fence("+formatTerm(t)+", "+quoteLiteral(holder)+")")
}

// Promote makes the member primary of term t.
func (c *Control) Promote(x context.Context, t uint64, holder string) (failover.Status, error) {
	return c.queryStatus(x, "SELECT * FROM promote("+formatTerm(t)+", "+quoteLiteral(holder)+")")
}

// Follow makes the member replicate from the primary of term t.
func (c *Control) Follow(x context.Context, t uint64, primary string) (failover.Status, error) {
	return c.queryStatus(x, "SELECT * FROM follow("+formatTerm(t)+", "+quoteLiteral(primary)+")")
}

func formatTerm(t uint64) string { return strconv.FormatUint(t, 10) }

func quoteLiteral(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

// queryStatus runs q and returns the member's status that it reports.
func (c *Control) queryStatus(x context.Context, q string) (failover.Status, error) {
	r, err := c.exec(x, q)
	if err != nil {
		return failover.Status{}, err
	}
	return singleStatus(r)
}

// exec runs q on the open connection, or on a new one if there is none or it
// fails. An error that the member reports is returned at once.
func (c *Control) exec(x context.Context, q string) (*pgconn.Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		r, err := c.execOnce(x, q)
		var e *pgconn.PgError
		if err == nil || errors.As(err, &e) {
			return r, err
		}
		if pgconn.Timeout(err) {
			c.abandoned = c.conn.PID()
		}
		c.disconnect()
	}
	p, err := login(x, c.config)
	if err != nil {
		return nil, err
	}
	c.conn = p
	if c.abandoned != 0 {
		if _, err := c.execOnce(x, terminateCall(c.abandoned)); err != nil {
			c.disconnect()
			return nil, err
		}
		c.abandoned = 0
	}
	r, err := c.execOnce(x, q)
	var e *pgconn.PgError
	if err != nil && !errors.As(err, &e) {
		c.disconnect()
	}
	return r, err
}

func (c *Control) execOnce(x context.Context, q string) (*pgconn.Result, error) {
	x, stop := context.WithTimeout(x, CallTimeout)
	defer stop()
	r, err := c.conn.Exec(x, q).ReadAll()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(r) != 1 {
		return nil, Error.Wrap(&ReplyError{Reason: "no row"})
	}
	return r[0], nil
}

func singleStatus(r *pgconn.Result) (failover.Status, error) {
	if len(r.Rows) != 1 {
		return failover.Status{}, Error.Wrap(&ReplyError{Reason: "no row"})
	}
	return parseStatus(r)
}

func parseStatus(r *pgconn.Result) (failover.Status, error) {
	var s failover.Status
	for i, f := range r.FieldDescriptions {
		v := string(r.Rows[0][i])
		var err error
		switch f.Name {
		case "role":
			s.Role = failover.Role(v)
		case "term":
			s.Term, err = strconv.ParseUint(v, 10, 64)
		case "position":
			s.Position, err = logpos.Parse(v)
		case "primary_address":
			s.Primary = v
		case "contact_ms":
			var n int64
			n, err = strconv.ParseInt(v, 10, 64)
			s.ContactAge = time.Duration(n) * time.Millisecond
		}
		if err != nil {
			return s, Error.Wrap(&ReplyError{Reason: f.Name + " is " + strconv.Quote(v)})
		}
	}
	if s.Role != failover.Primary && s.Role != failover.Replica {
		return s, Error.Wrap(&ReplyError{Reason: "role is " + strconv.Quote(string(s.Role))})
	}
	return s, nil
}

// ReplyError reports a malformed reply of a member to a status or control call.
type ReplyError struct {
	Reason string
}

func (e *ReplyError) Error() string { return "member's report can't be read: " + e.Reason }

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

// Control is a connection for a member's status and role. It is safe for
// concurrent use; calls run one at a time.
type Control struct {
	c  Config
	mu sync.Mutex
	p  *pgconn.PgConn
}

// NewControl returns a Control that connects when it is first used.
func NewControl(c Config) *Control { return &Control{c: c} }

// Close ends the connection.
func (c *Control) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drop()
}

func (c *Control) drop() {
	if c.p != nil {
		_ = c.p.Conn().Close()
		c.p = nil
	}
}

// Status asks the member for its report. If the open connection doesn't answer
// a fresh one is tried, so that an error tells of the member, not of one silent
// connection.
func (c *Control) Status(x context.Context) (failover.Status, error) {
	return c.call(x, "SELECT * FROM member_status()")
}

// Fence makes the member refuse all terms below t.
func (c *Control) Fence(x context.Context, t uint64, holder string) (failover.Status, error) {
	return c.call(x, "SELECT * FROM fence("+term(t)+", "+quote(holder)+")")
}

// Promote makes the member primary of term t.
func (c *Control) Promote(x context.Context, t uint64, holder string) (failover.Status, error) {
	return c.call(x, "SELECT * FROM promote("+term(t)+", "+quote(holder)+")")
}

// Follow makes the member replicate from the primary of term t.
func (c *Control) Follow(x context.Context, t uint64, primary string) (failover.Status, error) {
	return c.call(x, "SELECT * FROM follow("+term(t)+", "+quote(primary)+")")
}

func term(t uint64) string { return strconv.FormatUint(t, 10) }

func quote(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

// call runs q, on a fresh connection if the open one fails.
func (c *Control) call(x context.Context, q string) (failover.Status, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.p != nil {
		s, err := c.try(x, q)
		var e *pgconn.PgError
		if err == nil || errors.As(err, &e) {
			return s, err
		}
		c.drop()
	}
	p, err := login(x, c.c)
	if err != nil {
		return failover.Status{}, err
	}
	c.p = p
	s, err := c.try(x, q)
	var e *pgconn.PgError
	if err != nil && !errors.As(err, &e) {
		c.drop()
	}
	return s, err
}

func (c *Control) try(x context.Context, q string) (failover.Status, error) {
	x, stop := context.WithTimeout(x, CallTimeout)
	defer stop()
	r, err := c.p.Exec(x, q).ReadAll()
	if err != nil {
		return failover.Status{}, Error.Wrap(err)
	}
	if len(r) != 1 || len(r[0].Rows) != 1 {
		return failover.Status{}, Error.Wrap(&ReportError{Reason: "no row"})
	}
	return parseStatus(r[0])
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
			s.Contact = time.Duration(n) * time.Millisecond
		}
		if err != nil {
			return s, Error.Wrap(&ReportError{Reason: f.Name + " is " + strconv.Quote(v)})
		}
	}
	if s.Role != failover.Primary && s.Role != failover.Replica {
		return s, Error.Wrap(&ReportError{Reason: "role is " + strconv.Quote(string(s.Role))})
	}
	return s, nil
}

// ReportError reports a member's report that can't be read.
type ReportError struct {
	Reason string
}

func (e *ReportError) Error() string { return "member's report can't be read: " + e.Reason }

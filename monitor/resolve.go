package monitor

import (
	"context"
	"errors"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/dragonflypick/dragonflypick/failover"
	"github.com/dragonflypick/dragonflypick/logpos"
)

// retryInterval is the delay between attempts to determine an outcome.
const retryInterval = 50 * time.Millisecond

// Resolve reports whether the entry at p, whose term has ended, is in the log
// that every later primary has. It queries the new primary until one answers, and
// returns *TimeoutError when the context ends first.
func (m *Monitor) Resolve(x context.Context, p logpos.Position) (bool, error) {
	for {
		n := ""
		ok := m.AwaitCondition(x, func(g *failover.Group, _ time.Time) bool {
			var s bool
			n, s = g.LaterTermCommitted(p.Term)
			return s
		})
		if !ok {
			return false, Error.Wrap(&TimeoutError{Position: p})
		}
		h, s, err := m.logHolds(x, n, p)
		m.config.Log.Info("log position of an ended term checked", "group", m.config.Group.Name, "member", n, "position", p.String(),
			"holds", h, "role", s.Role, "term", s.Term, "error", err)
		if err == nil && s.Role == failover.Primary && s.Term > p.Term {
			return h, nil
		}
		sleep(x, retryInterval)
	}
}

// logHolds queries one member whether its log holds the entry at p.
func (m *Monitor) logHolds(x context.Context, n string, p logpos.Position) (bool, failover.Status, error) {
	c, err := m.control(n)
	if err != nil {
		return false, failover.Status{}, err
	}
	return c.LogHolds(x, p)
}

// BackendSession identifies a session on a member, by the process ID that the
// member assigned to it. The session may have committed a transaction.
type BackendSession struct {
	Member string
	PID    uint32
}

// QueryPrimary runs a read-only query on the primary, and returns its rows and a
// position at or after the state that they show. A majority has that position
// when QueryPrimary returns, so that the same query on a later primary can't show
// an earlier state. If session a is on that primary and could still commit, it
// is terminated first.
func (m *Monitor) QueryPrimary(x context.Context, a BackendSession, q string) ([][][]byte, logpos.Position, error) {
	for {
		n, t := "", uint64(0)
		ok := m.AwaitCondition(x, func(g *failover.Group, now time.Time) bool {
			v := g.View(now)
			n, t = v.Primary, v.Term
			return v.Primary != "" && v.Confirmed
		})
		if !ok {
			return nil, logpos.Position{}, Error.Wrap(&TimeoutError{})
		}
		r, s, err := m.queryMember(x, n, a, q)
		if err == nil && s.Role == failover.Primary && s.Term == t && (s.Position.IsZero() || m.AwaitDurable(x, s.Position) == nil) {
			return r, s.Position, nil
		}
		m.config.Log.Debug("primary query repeated", "group", m.config.Group.Name, "member", n, "role", s.Role, "term", s.Term, "error", err)
		sleep(x, retryInterval)
	}
}

// queryMember runs the query on one member and requests the member's status
// after it, so that the status covers what the rows show.
func (m *Monitor) queryMember(x context.Context, n string, a BackendSession, q string) ([][][]byte, failover.Status, error) {
	c, err := m.control(n)
	if err != nil {
		return nil, failover.Status{}, err
	}
	if a.PID != 0 && a.Member == n {
		ended, err := c.TerminateSession(x, a.PID)
		if err != nil {
			return nil, failover.Status{}, err
		}
		if !ended {
			return nil, failover.Status{}, Error.Wrap(&SessionRunningError{Session: a})
		}
	}
	r, err := c.Query(x, q)
	var e *pgconn.PgError
	if errors.As(err, &e) && e.Code == codeUndefinedTable {
		r, err = nil, nil
	}
	if err != nil {
		return nil, failover.Status{}, err
	}
	s, err := c.Status(x)
	return r, s, err
}

// codeUndefinedTable is the SQLSTATE of a table that doesn't exist, which counts
// as a table without rows.
const codeUndefinedTable = "42P01"

// TerminateSession terminates a session, if its member answers, so that its open
// transaction holds no more locks.
func (m *Monitor) TerminateSession(x context.Context, a BackendSession) {
	c, err := m.control(a.Member)
	if err != nil {
		return
	}
	ended, err := c.TerminateSession(x, a.PID)
	m.config.Log.Info("session termination requested", "group", m.config.Group.Name, "member", a.Member, "ended", ended, "error", err)
}

// SessionIdle reports whether a session runs no statement, according to an answer
// of its member on another connection. It returns false if the member doesn't
// answer.
func (m *Monitor) SessionIdle(x context.Context, a BackendSession) bool {
	c, err := m.control(a.Member)
	if err != nil {
		return false
	}
	i, err := c.SessionIdle(x, a.PID)
	return err == nil && i
}

func sleep(x context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-x.Done():
	case <-t.C:
	}
}

// SessionRunningError reports a session that could not be terminated in time.
type SessionRunningError struct {
	Session BackendSession
}

func (e *SessionRunningError) Error() string {
	return "a session on member " + e.Session.Member + " is still running"
}

package monitor

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/dragonflypick/dragonflypick/failover"
	"github.com/dragonflypick/dragonflypick/logpos"
)

// resolveRetryDelay is the delay between attempts to resolve a position or
// to query the primary.
const resolveRetryDelay = 50 * time.Millisecond

// ResolvePosition reports whether the entry at p, whose term has ended, is in
// the log that every later primary has. It queries the new primary until one
// answers, and returns *TimeoutError when the context ends first.
func (m *Monitor) ResolvePosition(x context.Context, p logpos.Position) (bool, error) {
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
		sleep(x, resolveRetryDelay)
	}
}

// logHolds queries whether the log of the named member holds the entry at p.
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

// QueryPrimary runs a read-only query on the primary, and returns its rows and
// a log position at or after the state that they show. A majority has that
// position when QueryPrimary returns, so that the same query on a later primary
// can't show an earlier state. If the session is on that primary, it is
// terminated first, so that it can't commit after the query.
func (m *Monitor) QueryPrimary(x context.Context, session BackendSession, query string) ([][][]byte, logpos.Position, error) {
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
		r, s, err := m.queryMember(x, n, session, query)
		if err == nil && s.Role == failover.Primary && s.Term == t && (s.Position.IsZero() || m.AwaitDurable(x, s.Position) == nil) {
			return r, s.Position, nil
		}
		m.config.Log.Debug("primary query repeated", "group", m.config.Group.Name, "member", n, "role", s.Role, "term", s.Term, "error", err)
		sleep(x, resolveRetryDelay)
	}
}

// queryMember runs the query on one member and requests the member's status
// after it, so that the status covers what the rows show.
func (m *Monitor) queryMember(x context.Context, n string, session BackendSession, query string) ([][][]byte, failover.Status, error) {
	c, err := m.control(n)
	if err != nil {
		return nil, failover.Status{}, err
	}
	if session.PID != 0 && session.Member == n {
		ended, err := c.TerminateSession(x, session.PID)
		if err != nil {
			return nil, failover.Status{}, err
		}
		if !ended {
			return nil, failover.Status{}, Error.Wrap(&SessionRunningError{Session: session})
		}
	}
	r, err := c.Query(x, query)
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
// transaction holds no more locks, and reports whether it has certainly ended.
func (m *Monitor) TerminateSession(x context.Context, session BackendSession) bool {
	c, err := m.control(session.Member)
	if err != nil {
		return false
	}
	ended, err := c.TerminateSession(x, session.PID)
	m.config.Log.Info("session termination requested", "group", m.config.Group.Name, "member", session.Member, "ended", ended, "error", err)
	return err == nil && ended
}

// SessionIdle reports whether a session runs no statement, according to an answer
// of its member on another connection. It returns false if the member doesn't
// answer.
func (m *Monitor) SessionIdle(x context.Context, session BackendSession) bool {
	c, err := m.control(session.Member)
	if err != nil {
		return false
	}
	i, err := c.SessionIdle(x, session.PID)
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
	return fmt.Sprintf("session %d on member %s is still running", e.Session.PID, e.Session.Member)
}

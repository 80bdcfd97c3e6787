package monitor

import (
	"context"
	"errors"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/dragonflypick/dragonflypick/failover"
	"github.com/dragonflypick/dragonflypick/logpos"
)

// resolvePause is the pause between attempts to learn an outcome.
const resolvePause = 50 * time.Millisecond

// Resolve tells whether the log that every later primary has holds the entry
// at p, the term of which has ended. It asks until the context ends, and
// returns *TimeoutError then.
func (m *Monitor) Resolve(x context.Context, p logpos.Position) (bool, error) {
	for {
		n := ""
		ok := m.Await(x, func(g *failover.Group, _ time.Time) bool {
			var s bool
			n, s = g.LaterTermCommitted(p.Term)
			return s
		})
		if !ok {
			return false, Error.Wrap(&TimeoutError{Position: p})
		}
		h, s, err := m.holds(x, n, p)
		m.c.Log.Info("position of an ended term", "group", m.c.Group.Name, "member", n, "position", p.String(),
			"holds", h, "role", s.Role, "term", s.Term, "error", err)
		if err == nil && s.Role == failover.Primary && s.Term > p.Term {
			return h, nil
		}
		wait(x, resolvePause)
	}
}

func (m *Monitor) holds(x context.Context, n string, p logpos.Position) (bool, failover.Status, error) {
	c, err := m.control(n)
	if err != nil {
		return false, failover.Status{}, err
	}
	return c.LogHolds(x, p)
}

// Attempt is a session that may have committed a transaction.
type Attempt struct {
	Member string
	PID    uint32
}

// Look asks the primary by a query that only reads, and returns its rows with
// a position at or after what they show. A majority has that position when
// Look returns, so that no later primary can show otherwise. If the session of
// an attempt could still commit on that primary, it is ended first.
func (m *Monitor) Look(x context.Context, a Attempt, q string) ([][][]byte, logpos.Position, error) {
	for {
		n, t := "", uint64(0)
		ok := m.Await(x, func(g *failover.Group, now time.Time) bool {
			v := g.View(now)
			n, t = v.Primary, v.Term
			return v.Primary != "" && v.Confirmed
		})
		if !ok {
			return nil, logpos.Position{}, Error.Wrap(&TimeoutError{})
		}
		r, s, err := m.lookAt(x, n, a, q)
		if err == nil && s.Role == failover.Primary && s.Term == t && (s.Position.IsZero() || m.AwaitDurable(x, s.Position) == nil) {
			return r, s.Position, nil
		}
		m.c.Log.Debug("look-up is repeated", "group", m.c.Group.Name, "member", n, "role", s.Role, "term", s.Term, "error", err)
		wait(x, resolvePause)
	}
}

// lookAt asks one member; its status is taken after the rows.
func (m *Monitor) lookAt(x context.Context, n string, a Attempt, q string) ([][][]byte, failover.Status, error) {
	c, err := m.control(n)
	if err != nil {
		return nil, failover.Status{}, err
	}
	if a.PID != 0 && a.Member == n {
		ended, err := c.Terminate(x, a.PID)
		if err != nil {
			return nil, failover.Status{}, err
		}
		if !ended {
			return nil, failover.Status{}, Error.Wrap(&RunningError{Attempt: a})
		}
	}
	r, err := c.Query(x, q)
	var e *pgconn.PgError
	if errors.As(err, &e) && e.Code == codeNoTable {
		r, err = nil, nil
	}
	if err != nil {
		return nil, failover.Status{}, err
	}
	s, err := c.Status(x)
	return r, s, err
}

// codeNoTable is the SQLSTATE of a table that doesn't exist, and so has no
// rows.
const codeNoTable = "42P01"

// End ends the session of an attempt, if its member answers, so that an open
// transaction holds no locks.
func (m *Monitor) End(x context.Context, a Attempt) {
	c, err := m.control(a.Member)
	if err != nil {
		return
	}
	ended, err := c.Terminate(x, a.PID)
	m.c.Log.Info("session ended", "group", m.c.Group.Name, "member", a.Member, "ended", ended, "error", err)
}

// Idle reports whether a member says, on a connection that works, that a
// session runs no statement.
func (m *Monitor) Idle(x context.Context, a Attempt) bool {
	c, err := m.control(a.Member)
	if err != nil {
		return false
	}
	i, err := c.Idle(x, a.PID)
	return err == nil && i
}

func wait(x context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-x.Done():
	case <-t.C:
	}
}

// RunningError reports a session that could not be ended in time.
type RunningError struct {
	Attempt Attempt
}

func (e *RunningError) Error() string {
	return "a session of " + e.Attempt.Member + " is still running"
}

package monitor

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/dragonflypick/dragonflypick/failover"
	"github.com/dragonflypick/dragonflypick/logpos"
)

// View returns the current view of the group.
func (m *Monitor) View() failover.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.failover.View(time.Now())
}

// AwaitCondition waits until ok returns true for the group, and reports whether it has.
// It returns false when the context ends first.
func (m *Monitor) AwaitCondition(x context.Context, ok func(*failover.Group, time.Time) bool) bool {
	for {
		m.mu.Lock()
		r, n := ok(m.failover, time.Now()), m.eventHandled
		m.mu.Unlock()
		if r {
			return true
		}
		select {
		case <-n:
		case <-x.Done():
			return false
		}
	}
}

// AwaitDurable waits until a majority of the members has the write at p. It
// returns *SupersededError once a later term has begun, and *TimeoutError when
// the context ends first; in both cases the outcome of the write is unknown.
func (m *Monitor) AwaitDurable(x context.Context, p logpos.Position) error {
	m.addWaiters(1)
	defer m.addWaiters(-1)
	superseded := false
	ok := m.AwaitCondition(x, func(g *failover.Group, _ time.Time) bool {
		if g.Durable(p) {
			return true
		}
		superseded = g.TermSuperseded(p.Term)
		return superseded
	})
	switch {
	case superseded:
		return Error.Wrap(&SupersededError{Term: p.Term})
	case !ok:
		return Error.Wrap(&TimeoutError{Position: p})
	default:
		return nil
	}
}

// BeginRequest waits until ok returns true for the group and this daemon isn't
// replacing the primary, and then counts a request as running on the primary. It
// reports whether the request was counted; if so, EndRequest must be called.
func (m *Monitor) BeginRequest(x context.Context, ok func(*failover.Group, time.Time) bool) bool {
	return m.AwaitCondition(x, func(g *failover.Group, now time.Time) bool {
		if g.ReplacingPrimary() || !ok(g, now) {
			return false
		}
		m.inFlight++
		return true
	})
}

// EndRequest ends a request that BeginRequest has counted. If it is the last one
// during a switchover, the switchover continues at once.
func (m *Monitor) EndRequest() {
	m.mu.Lock()
	m.inFlight--
	last := m.inFlight == 0 && m.failover.ReplacingPrimary()
	m.mu.Unlock()
	if last {
		m.handleEvent(failover.Ticked{Jitter: rand.Float64()})
	}
}

// InFlight returns the number of requests that run on the primary through this
// daemon.
func (m *Monitor) InFlight() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inFlight
}

// addWaiters changes the number of waiters; the first one starts a poll of all members
// at once.
func (m *Monitor) addWaiters(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waiters += n
	if n > 0 && m.waiters == 1 {
		close(m.wakePolls)
		m.wakePolls = make(chan struct{})
	}
}

// AwaitReports also waits until ok returns true for the group, but polls the members at
// busyPollInterval meanwhile. It is used if ok depends on reports that are still to
// come.
func (m *Monitor) AwaitReports(x context.Context, ok func(*failover.Group, time.Time) bool) bool {
	m.addWaiters(1)
	defer m.addWaiters(-1)
	return m.AwaitCondition(x, ok)
}

// SupersededError reports that the term of a write ended before a majority had
// the write.
type SupersededError struct {
	Term uint64
}

func (e *SupersededError) Error() string {
	return "the write's term ended before a majority had the write"
}

// TimeoutError reports that the context ended before a majority had a position or the
// position was resolved, or, with a zero Position, before a confirmed primary answered
// a query.
type TimeoutError struct {
	Position logpos.Position
}

func (e *TimeoutError) Error() string {
	return "no majority of the members reached position " + e.Position.String() + " in time"
}

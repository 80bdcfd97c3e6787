package monitor

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/dragonflypick/dragonflypick/failover"
	"github.com/dragonflypick/dragonflypick/logpos"
)

// View returns what is known of the group now.
func (m *Monitor) View() failover.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.View(time.Now())
}

// Await waits until ok holds of the group, and reports whether it does.
func (m *Monitor) Await(x context.Context, ok func(*failover.Group, time.Time) bool) bool {
	for {
		m.mu.Lock()
		r, n := ok(m.core, time.Now()), m.moved
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
// returns *SupersededError once another term has begun, and *TimeoutError when
// the context ends first; both leave the write's fate open.
func (m *Monitor) AwaitDurable(x context.Context, p logpos.Position) error {
	m.wait(1)
	defer m.wait(-1)
	lost := false
	ok := m.Await(x, func(g *failover.Group, _ time.Time) bool {
		if g.Durable(p) {
			return true
		}
		lost = g.Superseded(p.Term)
		return lost
	})
	switch {
	case lost:
		return Error.Wrap(&SupersededError{Term: p.Term})
	case !ok:
		return Error.Wrap(&TimeoutError{Position: p})
	default:
		return nil
	}
}

// Enter waits until ok holds of the group and the primary isn't being replaced
// from here, and counts a request that runs on the primary. It reports whether
// it did; Leave ends the request.
func (m *Monitor) Enter(x context.Context, ok func(*failover.Group, time.Time) bool) bool {
	return m.Await(x, func(g *failover.Group, now time.Time) bool {
		if g.ReplacingPrimary() || !ok(g, now) {
			return false
		}
		m.inFlight++
		return true
	})
}

// Leave ends a request that Enter counted.
func (m *Monitor) Leave() {
	m.mu.Lock()
	m.inFlight--
	last := m.inFlight == 0 && m.core.ReplacingPrimary()
	m.mu.Unlock()
	if last {
		m.handle(failover.Ticked{Jitter: rand.Float64()})
	}
}

// InFlight returns the number of requests that run on the primary through this
// daemon.
func (m *Monitor) InFlight() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inFlight
}

func (m *Monitor) wait(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waiters += n
	if n > 0 && m.waiters == 1 {
		close(m.kick)
		m.kick = make(chan struct{})
	}
}

// AwaitReplica waits until a replica may serve a read, and reports whether it
// may.
func (m *Monitor) AwaitReplica(x context.Context, ok func(*failover.Group, time.Time) bool) bool {
	m.wait(1)
	defer m.wait(-1)
	return m.Await(x, ok)
}

// SupersededError reports that the term of a write has ended.
type SupersededError struct {
	Term uint64
}

func (e *SupersededError) Error() string { return "the term of the write has ended" }

// TimeoutError reports that a majority didn't have a write in time.
type TimeoutError struct {
	Position logpos.Position
}

func (e *TimeoutError) Error() string {
	return "no majority had position " + e.Position.String() + " in time"
}

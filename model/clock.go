// Package model emulates, in virtual time and on one goroutine, what surrounds
// the decisions of a daemon: members of a database group, a network, the
// platform's key-value service, other daemons, and callers. The decisions
// themselves are those of the daemon's own packages.
package model

import (
	"container/heap"
	"time"
)

// timer is something that happens at a moment.
type timer struct {
	// at is the time since the run began.
	at  time.Duration
	seq uint64
	f   func()
}

// timers is a heap, earliest first; equal moments keep their order.
type timers []*timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	if t[i].at != t[j].at {
		return t[i].at < t[j].at
	}
	return t[i].seq < t[j].seq
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { *t = append(*t, x.(*timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	n := len(*t) - 1
	x := (*t)[n]
	(*t)[n] = nil
	*t = (*t)[:n]
	return x
}

// Clock is virtual time. It is not safe for concurrent use.
type Clock struct {
	now time.Time
	seq uint64
	q   timers
}

// epoch is the first moment of every run.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Now returns the virtual time.
func (c *Clock) Now() time.Time { return c.now }

// Elapsed returns the virtual time since the run began.
func (c *Clock) Elapsed() time.Duration { return c.now.Sub(epoch) }

// After runs f after d.
func (c *Clock) After(d time.Duration, f func()) {
	c.seq++
	heap.Push(&c.q, &timer{at: c.Elapsed() + max(d, 0), seq: c.seq, f: f})
}

// Advance lets d pass.
func (c *Clock) Advance(d time.Duration) {
	end := c.Elapsed() + d
	for len(c.q) > 0 && c.q[0].at <= end {
		t := heap.Pop(&c.q).(*timer)
		c.now = epoch.Add(t.at)
		t.f()
	}
	c.now = epoch.Add(end)
}

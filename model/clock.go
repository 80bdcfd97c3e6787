// Package model simulates a database group with its daemons and callers, the
// network and the platform, in virtual time and on one goroutine. The daemons'
// decisions are made by the packages that the real daemons use; their I/O is
// simulated. World simulates package daemon. PlatformWorld simulates package
// platformdaemon, whose daemons agree on a group's holder and primary through
// the store of the users' platform. Package matrix injects faults into both.
package model

import (
	"container/heap"
	"time"
)

// timer is a scheduled function call.
type timer struct {
	// at is the time since the start of the run.
	at  time.Duration
	seq uint64
	run func()
}

// timers is a heap, earliest first; timers of equal time keep their order of
// creation.
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

// Clock is a virtual clock. It is not safe for concurrent use.
type Clock struct {
	now    time.Time
	seq    uint64
	timers timers
}

// startTime is the virtual time at which every run starts.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Now returns the current virtual time.
func (c *Clock) Now() time.Time { return c.now }

// Elapsed returns the virtual time since the start of the run.
func (c *Clock) Elapsed() time.Duration { return c.now.Sub(startTime) }

// After schedules f to run after d.
func (c *Clock) After(d time.Duration, f func()) {
	c.seq++
	heap.Push(&c.timers, &timer{at: c.Elapsed() + max(d, 0), seq: c.seq, run: f})
}

// Advance advances the clock by d and runs the functions that become due.
func (c *Clock) Advance(d time.Duration) {
	end := c.Elapsed() + d
	for len(c.timers) > 0 && c.timers[0].at <= end {
		t := heap.Pop(&c.timers).(*timer)
		c.now = startTime.Add(t.at)
		t.run()
	}
	c.now = startTime.Add(end)
}

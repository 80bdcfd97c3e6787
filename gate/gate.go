// Package gate lets requests wait for a place in the order of an admit.Queue:
// for a slot of a backend server, or for one of its transactions.
package gate

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/dragonflypick/dragonflypick/admit"
	"github.com/dragonflypick/dragonflypick/bundle"
)

// Error is the class of all failures of this package.
var Error = errs.Class("gate")

// RefusedError reports a request that was not let through.
type RefusedError struct {
	Reason admit.Reason
	// RetryAfter is when the caller should come back.
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string { return "not run: " + string(e.Reason) }

// WithdrawnError reports a request whose context ended while it waited.
type WithdrawnError struct{ Cause error }

func (e *WithdrawnError) Error() string { return "not run: " + e.Cause.Error() }

// Unwrap returns why the context ended.
func (e *WithdrawnError) Unwrap() error { return e.Cause }

// Gate drives a queue. It is safe for concurrent use.
type Gate struct {
	mu   sync.Mutex
	q    *admit.Queue
	next uint64
	// waiting maps a request that isn't decided to where its decision goes; the
	// channels have room for one.
	waiting map[uint64]chan admit.Action
}

// New returns a gate that nobody has passed.
func New(c admit.Config) *Gate {
	return &Gate{q: admit.New(c), waiting: map[uint64]chan admit.Action{}}
}

// Ticket is the place of a request that was let through.
type Ticket struct {
	g  *Gate
	id uint64
}

// Free gives the place to another request.
func (t Ticket) Free() { t.g.handle(admit.Finished{ID: t.id}) }

// Decline gives the place to another request; the backend server did no work
// for this one.
func (t Ticket) Decline() { t.g.handle(admit.Finished{ID: t.id, Declined: true}) }

// Enter waits to be let through; the gate sets ID and Jitter of the request. It
// returns a *RefusedError, or a *WithdrawnError if the context ended first.
func (g *Gate) Enter(x context.Context, a admit.Arrived) (Ticket, error) {
	w := make(chan admit.Action, 1)
	g.mu.Lock()
	g.next++
	a.ID, a.Jitter = g.next, rand.Float64()
	g.waiting[a.ID] = w
	g.deliver(g.q.Handle(a, time.Now()))
	g.mu.Unlock()
	select {
	case d := <-w:
		return g.result(a.ID, d)
	default:
	}
	// The queue refuses a request at its deadline, if it is told of the time.
	t := time.NewTimer(time.Until(a.Deadline))
	defer t.Stop()
	for {
		select {
		case d := <-w:
			return g.result(a.ID, d)
		case <-t.C:
			g.handle(admit.Ticked{})
			t.Reset(time.Millisecond)
		case <-x.Done():
			if d := g.withdraw(a.ID, w); d != nil {
				return g.result(a.ID, d)
			}
			return Ticket{}, Error.Wrap(&WithdrawnError{Cause: context.Cause(x)})
		}
	}
}

func (g *Gate) result(id uint64, d admit.Action) (Ticket, error) {
	if r, ok := d.(admit.Refuse); ok {
		return Ticket{}, Error.Wrap(&RefusedError{Reason: r.Reason, RetryAfter: r.RetryAfter})
	}
	return Ticket{g: g, id: id}, nil
}

// withdraw takes a waiting request back. It returns the decision if there was
// one meanwhile.
func (g *Gate) withdraw(id uint64, w chan admit.Action) admit.Action {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case d := <-w:
		return d
	default:
	}
	delete(g.waiting, id)
	g.deliver(g.q.Handle(admit.Withdrawn{ID: id}, time.Now()))
	return nil
}

// Configure replaces the limits.
func (g *Gate) Configure(c admit.Config) { g.handle(admit.Configured{Config: c}) }

func (g *Gate) handle(e admit.Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.q.Handle(e, time.Now()))
}

// deliver passes the queue's decisions on; g.mu is held.
func (g *Gate) deliver(l []admit.Action) {
	for _, a := range l {
		var id uint64
		switch a := a.(type) {
		case admit.Start:
			id = a.ID
		case admit.Refuse:
			id = a.ID
		}
		if w, ok := g.waiting[id]; ok {
			delete(g.waiting, id)
			w <- a
		}
	}
}

// Wait predicts how long a new request of a rank waits.
func (g *Gate) Wait(r bundle.Rank) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.q.Wait(r, "", time.Now())
}

// Depth returns the numbers of waiting requests by rank.
func (g *Gate) Depth() [bundle.RankCount]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	var d [bundle.RankCount]int
	for i := range d {
		d[i] = g.q.Depth(bundle.Rank(i))
	}
	return d
}

// Running returns the number of requests that hold a place.
func (g *Gate) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.q.Running()
}

// Idle reports whether no request waits or holds a place.
func (g *Gate) Idle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.waiting) == 0 && g.q.Running() == 0
}

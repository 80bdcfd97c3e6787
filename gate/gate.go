// Package gate blocks requests until an admission.Queue starts or refuses them. It
// adds to the queue a clock, locking and waiting. A gate bounds the running
// statements of a backend server, or its open transactions.
package gate

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/dragonflypick/dragonflypick/admission"
	"github.com/dragonflypick/dragonflypick/bundle"
)

// Error is the class of all failures of this package.
var Error = errs.Class("gate")

// RefusedError reports a request that the queue refused.
type RefusedError struct {
	Reason admission.Reason
	// RetryAfter is how long the caller should wait before it retries.
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string { return "not run: " + string(e.Reason) }

// WithdrawnError reports a request whose context ended while it was waiting.
type WithdrawnError struct{ Cause error }

func (e *WithdrawnError) Error() string { return "not run: " + e.Cause.Error() }

// Unwrap returns the reason why the context ended.
func (e *WithdrawnError) Unwrap() error { return e.Cause }

// Gate wraps an admission.Queue. It is safe for concurrent use.
type Gate struct {
	mu     sync.Mutex
	q      *admission.Queue
	lastID uint64
	// early is the EarlyRefusal of the configuration at the start.
	early bool
	// weight returns the weight of a team; nil gives all the same.
	weight func(team string) float64
	// waiting holds a channel for the decision on each waiting request, by ID. The
	// channels are buffered, so that sending never blocks.
	waiting map[uint64]chan admission.Action
	// onOverdue holds functions that are called when started requests become overdue, by
	// ID.
	onOverdue map[uint64]func()
}

// New returns a gate without requests.
func New(c admission.Config) *Gate {
	return &Gate{q: admission.New(c), early: c.EarlyRefusal, waiting: map[uint64]chan admission.Action{}, onOverdue: map[uint64]func(){}}
}

// ShareByWeight shares slot time between teams by a weight. It is called before the
// first request.
func (g *Gate) ShareByWeight(weight func(team string) float64) { g.weight = weight }

// Slot is the slot of a request that was started.
type Slot struct {
	g  *Gate
	id uint64
}

// Release releases the slot.
func (t Slot) Release() { t.g.handle(admission.Finished{ID: t.id}) }

// OnOverdue makes f be called, at most once and without any lock, if the answer to the
// request is probably lost; see admission.Overdue. The returned function ends this.
func (t Slot) OnOverdue(f func()) (stop func()) {
	t.g.mu.Lock()
	defer t.g.mu.Unlock()
	t.g.onOverdue[t.id] = f
	return func() {
		t.g.mu.Lock()
		defer t.g.mu.Unlock()
		delete(t.g.onOverdue, t.id)
	}
}

// ReleaseDeclined releases the slot of a request for which the backend server did
// no work; see admission.Finished.Declined.
func (t Slot) ReleaseDeclined() { t.g.handle(admission.Finished{ID: t.id, Declined: true}) }

// Acquire blocks until the request gets a slot. It sets the request's ID,
// Jitter and Weight. The error is a *RefusedError, or a *WithdrawnError if the context
// ended first.
func (g *Gate) Acquire(x context.Context, a admission.Arrived) (Slot, error) {
	w := make(chan admission.Action, 1)
	if a.Team != "" && g.weight != nil {
		a.Weight = g.weight(a.Team)
	}
	g.mu.Lock()
	g.lastID++
	a.ID, a.Jitter = g.lastID, rand.Float64()
	g.waiting[a.ID] = w
	g.deliver(g.q.Handle(a, time.Now()))
	g.mu.Unlock()
	select {
	case d := <-w:
		return g.slotOrError(a.ID, d)
	default:
	}
	// The queue refuses an expired request only when it handles an event, so a
	// Ticked event is sent at the deadline. With EarlyRefusal it is also sent each
	// time that half of the time left has passed.
	t := time.NewTimer(tickDelay(a.Deadline, g.early))
	defer t.Stop()
	for {
		select {
		case d := <-w:
			return g.slotOrError(a.ID, d)
		case <-t.C:
			g.handle(admission.Ticked{})
			t.Reset(tickDelay(a.Deadline, g.early))
		case <-x.Done():
			if d := g.withdraw(a.ID, w); d != nil {
				return g.slotOrError(a.ID, d)
			}
			return Slot{}, Error.Wrap(&WithdrawnError{Cause: context.Cause(x)})
		}
	}
}

// minTickDelay is the least time between two Ticked events of a waiting request.
const minTickDelay = 20 * time.Millisecond

// tickDelay returns when a request that waits sends its next Ticked event.
func tickDelay(deadline time.Time, early bool) time.Duration {
	d := max(time.Until(deadline), time.Millisecond)
	if !early {
		return d
	}
	return min(d, max(d/2, minTickDelay))
}

// slotOrError returns the slot that a decision of the queue grants, or the error
// that reports its refusal.
func (g *Gate) slotOrError(id uint64, d admission.Action) (Slot, error) {
	if r, ok := d.(admission.Refuse); ok {
		return Slot{}, Error.Wrap(&RefusedError{Reason: r.Reason, RetryAfter: r.RetryAfter})
	}
	return Slot{g: g, id: id}, nil
}

// withdraw removes a waiting request from the queue, or returns the decision if
// there already was one.
func (g *Gate) withdraw(id uint64, w chan admission.Action) admission.Action {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case d := <-w:
		return d
	default:
	}
	delete(g.waiting, id)
	g.deliver(g.q.Handle(admission.Withdrawn{ID: id}, time.Now()))
	return nil
}

// Configure replaces the queue's configuration.
func (g *Gate) Configure(c admission.Config) { g.handle(admission.Configured{Config: c}) }

func (g *Gate) handle(e admission.Event) {
	g.mu.Lock()
	l := g.q.Handle(e, time.Now())
	g.deliver(l)
	var overdue []func()
	for _, a := range l {
		if o, ok := a.(admission.Overdue); ok && g.onOverdue[o.ID] != nil {
			overdue = append(overdue, g.onOverdue[o.ID])
			delete(g.onOverdue, o.ID)
		}
	}
	g.mu.Unlock()
	for _, f := range overdue {
		f()
	}
}

// deliver sends the queue's decisions to the waiting requests; g.mu is held.
func (g *Gate) deliver(l []admission.Action) {
	for _, a := range l {
		var id uint64
		switch a := a.(type) {
		case admission.Start:
			id = a.ID
		case admission.Refuse:
			id = a.ID
		}
		if w, ok := g.waiting[id]; ok {
			delete(g.waiting, id)
			w <- a
		}
	}
}

// EstimateWait predicts how long a new request of rank r would wait.
func (g *Gate) EstimateWait(r bundle.Rank) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.q.EstimateWait(r, "", time.Now())
}

// RefusedElsewhere records requests of a rank that were refused before they arrived.
func (g *Gate) RefusedElsewhere(r bundle.Rank, count int) {
	g.handle(admission.RefusedElsewhere{Rank: r, Count: count})
}

// Returns returns the times within which refused callers are to return; see
// admission.Queue.Returns.
func (g *Gate) Returns() [bundle.RankCount]time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.q.Returns(time.Now())
}

// Stalled reports whether the backend server has stopped to answer; see
// admission.Queue.Stalled.
func (g *Gate) Stalled() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.q.Stalled(time.Now())
}

// TeamsInExcess returns the teams that use far more than their share, sorted.
func (g *Gate) TeamsInExcess() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.q.TeamsInExcess()
}

// Depth returns the number of waiting requests of each rank.
func (g *Gate) Depth() [bundle.RankCount]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	var d [bundle.RankCount]int
	for i := range d {
		d[i] = g.q.Depth(bundle.Rank(i))
	}
	return d
}

// Running returns the number of requests that hold a slot.
func (g *Gate) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.q.Running()
}

// Idle reports whether no request waits or holds a slot.
func (g *Gate) Idle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.waiting) == 0 && g.q.Running() == 0
}

package pool

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dragonflypick/dragonflypick/admit"
	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/query"
)

// gate lets requests through in the order of a queue. It is safe for concurrent
// use.
type gate struct {
	// what names the thing that requests wait for.
	what string

	mu    sync.Mutex
	queue *admit.Queue
	next  uint64
	// waiting maps a request to where its decision goes.
	waiting map[uint64]chan admit.Action
}

func newGate(what string, c admit.Config) *gate {
	return &gate{what: what, queue: admit.New(c), waiting: map[uint64]chan admit.Action{}}
}

// wait predicts how long a new request waits.
func (g *gate) wait(r bundle.Rank) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Wait(r, "", time.Now())
}

// depth returns the number of requests that wait, by rank.
func (g *gate) depth() [bundle.RankCount]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	var o [bundle.RankCount]int
	for r := range o {
		o[r] = g.queue.Depth(bundle.Rank(r))
	}
	return o
}

// running returns the number of requests that were let through.
func (g *gate) running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Running()
}

// enter waits to be let through and returns the number to leave with, or a
// refusal. Held requests don't wait.
func (g *gate) enter(x context.Context, r *query.Request, deadline time.Time, held bool) (uint64, *query.Failure) {
	g.mu.Lock()
	g.next++
	id := g.next
	w := make(chan admit.Action, 1)
	g.waiting[id] = w
	g.act(g.queue.Handle(admit.Arrived{
		ID: id, Rank: r.Rank, Caller: r.Session, Deadline: deadline, Held: held, Jitter: rand.Float64(),
	}, time.Now()))
	g.mu.Unlock()
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	var a admit.Action
	select {
	case a = <-w:
	case <-t.C:
	case <-x.Done():
	}
	if a == nil {
		a = g.withdraw(id, w)
	}
	switch a := a.(type) {
	case admit.Start:
		return id, nil
	case admit.Refuse:
		return 0, &query.Failure{Reason: query.Overloaded, Text: g.what + " " + string(a.Reason), RetryAfter: a.RetryAfter}
	default:
		return 0, &query.Failure{Reason: query.Overloaded, Text: g.what + " " + string(admit.Expired)}
	}
}

// withdraw takes a waiting request back, unless it was decided meanwhile.
func (g *gate) withdraw(id uint64, w chan admit.Action) admit.Action {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case a := <-w:
		return a
	default:
	}
	delete(g.waiting, id)
	g.act(g.queue.Handle(admit.Withdrawn{ID: id}, time.Now()))
	return nil
}

// leave makes room for another request. A declined one took none of the backend
// server's time.
func (g *gate) leave(id uint64, declined bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.act(g.queue.Handle(admit.Finished{ID: id, Declined: declined}, time.Now()))
}

// act carries out the queue's actions; g.mu is held.
func (g *gate) act(l []admit.Action) {
	for _, a := range l {
		var id uint64
		switch a := a.(type) {
		case admit.Start:
			id = a.ID
		case admit.Refuse:
			id = a.ID
		}
		if w := g.waiting[id]; w != nil {
			delete(g.waiting, id)
			w <- a
		}
	}
}

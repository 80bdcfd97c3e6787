package owner

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dragonflypick/dragonflypick/admit"
	"github.com/dragonflypick/dragonflypick/backend"
	"github.com/dragonflypick/dragonflypick/bundle"
)

// backgroundReserve is the number of slots that background work leaves free.
const backgroundReserve = 1

// server is an owned backend server: its queue and its connections.
type server struct {
	name    string
	address string
	pool    *backend.Pool

	mu   sync.Mutex
	q    *admit.Queue
	next uint64
	// waiting maps requests to where their action goes.
	waiting map[uint64]chan admit.Action
	// transactions bounds the open transactions.
	transactions admit.Transactions
	// gone is closed when left is set: the server has another owner, another
	// address, or no place in the bundle.
	gone chan struct{}
	left bool
	// holds ends the work that needs the server to be primary.
	holds map[uint64]context.CancelCauseFunc
}

func queueConfig(b *bundle.Bundle, m *bundle.Member) admit.Config {
	c := admit.Config{Slots: m.Slots, Reserve: min(backgroundReserve, m.Slots-1)}
	for i := range c.Shares {
		c.Shares[i] = b.Ranks.Of(bundle.Rank(i)).Share
	}
	return c
}

func poolSize(m *bundle.Member) int { return max(m.Connections-bundle.ControlConnections, 1) }

func newServer(c backend.Config, b *bundle.Bundle, m *bundle.Member) *server {
	return &server{
		name: m.Name, pool: backend.NewPool(c, poolSize(m)),
		q: admit.New(queueConfig(b, m)), waiting: map[uint64]chan admit.Action{},
		transactions: admit.Transactions{Connections: poolSize(m), Slots: m.Slots},
		address:      m.Address, gone: make(chan struct{}), holds: map[uint64]context.CancelCauseFunc{},
	}
}

func (s *server) slots() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.transactions.Slots
}

// beginTransaction reports whether a transaction of rank r may hold a
// connection, and counts it in.
func (s *server) beginTransaction(r bundle.Rank) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.transactions.Begin(r)
}

func (s *server) endTransaction(r bundle.Rank) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.transactions.End(r)
}

// handle feeds the queue; s.mu is held.
func (s *server) handle(e admit.Event) {
	for _, a := range s.q.Handle(e, time.Now()) {
		var id uint64
		switch x := a.(type) {
		case admit.Start:
			id = x.ID
		case admit.Refuse:
			id = x.ID
		}
		if c, ok := s.waiting[id]; ok {
			c <- a
			delete(s.waiting, id)
		}
	}
}

// ticket is a slot that a request holds.
type ticket struct {
	s  *server
	id uint64
}

// free gives the slot back.
func (t ticket) free() {
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	t.s.handle(admit.Finished{ID: t.id})
}

// enter waits for a slot. It returns *RefusedError, *MovedError or
// *ReplacedError if the request isn't run.
func (s *server) enter(x context.Context, a admit.Arrived) (ticket, error) {
	c := make(chan admit.Action, 1)
	gone := s.gone
	if a.Held {
		gone = nil
	}
	s.mu.Lock()
	s.next++
	a.ID, a.Jitter = s.next, rand.Float64()
	s.waiting[a.ID] = c
	s.handle(a)
	s.mu.Unlock()
	t := time.NewTimer(time.Until(a.Deadline) + time.Millisecond)
	defer t.Stop()
	for {
		select {
		case r := <-c:
			return s.settle(a.ID, r)
		case <-t.C:
			s.mu.Lock()
			s.handle(admit.Ticked{})
			s.mu.Unlock()
		case <-x.Done():
			err := s.withdraw(a.ID, c)
			if e := context.Cause(x); isReplaced(e) {
				err = e
			}
			return ticket{}, err
		case <-gone:
			_ = s.withdraw(a.ID, c)
			return ticket{}, Error.Wrap(&MovedError{})
		}
	}
}

func (s *server) settle(id uint64, a admit.Action) (ticket, error) {
	if r, ok := a.(admit.Refuse); ok {
		return ticket{}, Error.Wrap(&RefusedError{Reason: string(r.Reason), RetryAfter: r.RetryAfter})
	}
	return ticket{s: s, id: id}, nil
}

// withdraw takes a request out that nobody waits for any more.
func (s *server) withdraw(id uint64, c chan admit.Action) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, id)
	select {
	case a := <-c:
		if _, ok := a.(admit.Start); ok {
			s.handle(admit.Finished{ID: id})
		}
	default:
		s.handle(admit.Withdrawn{ID: id})
	}
	return Error.Wrap(&RefusedError{Reason: "withdrawn"})
}

// depth returns the numbers of waiting requests by rank.
func (s *server) depth() [bundle.RankCount]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var d [bundle.RankCount]int
	for i := range d {
		d[i] = s.q.Depth(bundle.Rank(i))
	}
	return d
}

// RefusedError reports a request that was not run.
type RefusedError struct {
	Reason string
	// RetryAfter is when the caller should come back.
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string { return "not run: " + e.Reason }

func asRefused(err error) (*RefusedError, bool) {
	var r *RefusedError
	ok := errors.As(err, &r)
	return r, ok
}

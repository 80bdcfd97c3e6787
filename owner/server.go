package owner

import (
	"context"
	"sync"

	"github.com/dragonflypick/dragonflypick/admission"
	"github.com/dragonflypick/dragonflypick/backend"
	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/gate"
)

// backgroundReserve is the number of slots that background work leaves free.
const backgroundReserve = 1

// server is an owned backend server: its queue and its connections.
type server struct {
	name    string
	address string
	pool    *backend.Pool
	// slots lets statements run.
	slots *gate.Gate
	// gone ends with a *MovedError when the server has another owner, another
	// address, or no place in the bundle; leave ends it.
	gone  context.Context
	leave context.CancelCauseFunc

	mu   sync.Mutex
	next uint64
	// transactions bounds the open transactions.
	transactions admission.Transactions
	// holds ends the work that needs the server to be primary.
	holds map[uint64]context.CancelCauseFunc
}

func queueConfig(b *bundle.Bundle, m *bundle.Member) admission.Config {
	c := admission.Config{Slots: m.Slots, Reserve: min(backgroundReserve, m.Slots-1)}
	for i := range c.Shares {
		c.Shares[i] = b.Ranks.Of(bundle.Rank(i)).Share
	}
	return c
}

func poolSize(m *bundle.Member) int { return max(m.Connections-bundle.ControlConnections, 1) }

func newServer(c backend.Config, b *bundle.Bundle, m *bundle.Member) *server {
	x, stop := context.WithCancelCause(context.Background())
	return &server{
		name: m.Name, address: m.Address, pool: backend.NewPool(c, poolSize(m)),
		slots: gate.New(queueConfig(b, m)), gone: x, leave: stop,
		transactions: admission.Transactions{Connections: poolSize(m), Slots: m.Slots},
		holds:        map[uint64]context.CancelCauseFunc{},
	}
}

// configure replaces the limits.
func (s *server) configure(b *bundle.Bundle, m *bundle.Member) {
	s.pool.Resize(poolSize(m))
	s.slots.Configure(queueConfig(b, m))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.transactions.Connections, s.transactions.Slots = poolSize(m), m.Slots
}

// warm opens connections until there is one for each slot.
func (s *server) warm(x context.Context) {
	s.mu.Lock()
	n := s.transactions.Slots
	s.mu.Unlock()
	s.pool.Warm(x, n)
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

// enter waits for a slot. The error holds a *gate.RefusedError, *MovedError or
// *ReplacedError if the request isn't run.
func (s *server) enter(x context.Context, a admission.Arrived) (gate.Ticket, error) {
	if a.InTransaction {
		return s.slots.Enter(x, a)
	}
	y, stop := context.WithCancelCause(x)
	defer stop(nil)
	unhook := context.AfterFunc(s.gone, func() { stop(context.Cause(s.gone)) })
	defer unhook()
	return s.slots.Enter(y, a)
}

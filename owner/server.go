package owner

import (
	"context"
	"sync"

	"github.com/dragonflypick/dragonflypick/admission"
	"github.com/dragonflypick/dragonflypick/backend"
	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/gate"
)

// backgroundReserve is the number of slots that background requests leave free.
const backgroundReserve = 1

// server holds the queue and the connections of an owned backend server.
type server struct {
	name    string
	address string
	pool    *backend.Pool
	// slots is the queue for the server's slots.
	slots *gate.Gate
	// ownership ends with a *MovedError when the server has another owner or
	// another address, or is no longer in the bundle; endOwnership ends it.
	ownership    context.Context
	endOwnership context.CancelCauseFunc

	mu sync.Mutex
	// lastWorkID is the last key used in primaryWork.
	lastWorkID uint64
	// transactions limits the number of open transactions.
	transactions admission.TransactionLimiter
	// primaryWork holds, for each stream that is being served, the function that
	// cancels its work if this work needs the server to be primary.
	primaryWork map[uint64]context.CancelCauseFunc
}

// queueConfig returns the configuration of a member's queue.
func queueConfig(b *bundle.Bundle, m *bundle.Member) admission.Config {
	c := admission.Config{Slots: m.Slots, ReservedSlots: min(backgroundReserve, m.Slots-1)}
	for i := range c.Shares {
		c.Shares[i] = b.Ranks.Of(bundle.Rank(i)).Share
	}
	return c
}

// poolSize returns the maximum number of connections for statements: the member's
// limit less the control connections.
func poolSize(m *bundle.Member) int { return max(m.Connections-bundle.ControlConnections, 1) }

func newServer(c backend.Config, b *bundle.Bundle, m *bundle.Member) *server {
	x, stop := context.WithCancelCause(context.Background())
	return &server{
		name: m.Name, address: m.Address, pool: backend.NewPool(c, poolSize(m)),
		slots: gate.New(queueConfig(b, m)), ownership: x, endOwnership: stop,
		transactions: admission.TransactionLimiter{Connections: poolSize(m), Slots: m.Slots},
		primaryWork:  map[uint64]context.CancelCauseFunc{},
	}
}

// configure applies the limits of a bundle.
func (s *server) configure(b *bundle.Bundle, m *bundle.Member) {
	s.pool.Resize(poolSize(m))
	s.slots.Configure(queueConfig(b, m))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.transactions.Connections, s.transactions.Slots = poolSize(m), m.Slots
}

// warm opens connections until one per slot is idle or the pool is full.
func (s *server) warm(x context.Context) {
	s.mu.Lock()
	n := s.transactions.Slots
	s.mu.Unlock()
	s.pool.Warm(x, n)
}

// beginTransaction reports whether a transaction of rank r may hold a connection,
// and if so counts it as open.
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

// acquireSlot waits for a slot. The error contains a *gate.RefusedError, a
// *MovedError or a *ReplacedError if the request isn't run.
func (s *server) acquireSlot(x context.Context, a admission.Arrived) (gate.Slot, error) {
	if a.InTransaction {
		return s.slots.Acquire(x, a)
	}
	y, stop := context.WithCancelCause(x)
	defer stop(nil)
	unhook := context.AfterFunc(s.ownership, func() { stop(context.Cause(s.ownership)) })
	defer unhook()
	return s.slots.Acquire(y, a)
}

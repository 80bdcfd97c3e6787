// Package pool manages the connections and the queue of one backend server at the
// daemon of package fleet that owns it, and runs requests on the connections.
// Package owner is the counterpart for PostgreSQL.
package pool

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"

	"github.com/dragonflypick/dragonflypick/admission"
	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/contain"
	"github.com/dragonflypick/dragonflypick/gate"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/teamconns"
)

// Error is the class of all failures of this package.
var Error = errs.Class("pool")

// Limits of a pool.
const (
	// reservedConnections are left unused for status checks and for another daemon
	// that takes over the member.
	reservedConnections = 2
	// idleTimeout is how long an unused connection is kept, and teamIdleTimeout how
	// long one of a team is. Members close theirs after one minute.
	idleTimeout     = 30 * time.Second
	teamIdleTimeout = 50 * time.Second
	// routineShare and backgroundShare are minimum shares of the slots, so that
	// lower ranks are served while urgent requests overload the member.
	routineShare    = 0.1
	backgroundShare = 0.1
	// queuedStatements are sent in addition to the slots and wait at the
	// member, so that no slot there is idle while an answer and the next
	// statement are in transit.
	queuedStatements = 1
	// reservedTransactions are not available to background transactions, so that
	// urgent ones don't wait while those are idle.
	reservedTransactions = 2
)

// Config holds a pool's settings.
type Config struct {
	Member catalog.Member
	// Connections is the maximum number of connections to the member from all
	// daemons.
	Connections int
	Dialer      Dialer
	// ObservePosition is called with the position in a reply and the time at which
	// its step was sent. It is zero only if the member told none when a connection was
	// opened.
	ObservePosition func(p logpos.Position, sent time.Time)
	// ObserveStatement is called with the time that a statement or commit took at the
	// member, and whether the member failed it. It may be nil.
	ObserveStatement func(took time.Duration, failed bool)
	// Now reads the boot-time clock, which also advances while the process or host
	// is suspended.
	Now func() time.Time
	// Metrics counts the connections of all pools; nil counts them nowhere.
	Metrics *Metrics
	// Pace makes the limits follow how the member answers; nil leaves them fixed.
	Pace *PaceConfig
	// EarlyRefusal refuses requests as soon as they can't be served in time; see
	// admission.Config.
	EarlyRefusal bool
	// TeamWeight returns the share of a team relative to that of others; nil gives
	// all the same.
	TeamWeight func(team string) float64
	Log        hclog.Logger
}

// Pool runs requests at one backend server. It is safe for concurrent use.
type Pool struct {
	config Config
	// slots bounds running statements. transactions bounds open transactions, so
	// that a connection is left for each slot.
	slots        *gate.Gate
	transactions *gate.Gate
	limit        *slotLimit
	// pacer is nil if the limits are fixed.
	pacer    *pacer
	pressure pressureGauge

	mu sync.Mutex
	// set decides which connection a request uses; conns holds the open ones by ID.
	set   *teamconns.Set
	conns map[uint64]*conn
	// waiting holds a channel for the decisions on each request that waits for a
	// connection, by ID. The channels are buffered, so that sending never blocks.
	waiting map[uint64]chan decision
	lastID  uint64
	ticker  *time.Timer
	// openingLimit is the limit of openings that set was told; zero before the first.
	openingLimit int
	exchanged    exchangeLog
	// txs holds the open transactions by name. abandoned holds the times at which
	// transactions were abandoned before they were open.
	txs       map[string]*tx
	abandoned map[string]time.Time
	closed    bool
	// killed is set once Kill has been called. No transaction is registered, and nothing
	// is sent to the member, afterwards.
	killed bool
	// failures counts failed attempts to open a connection since the last reply.
	failures  int
	lastReply time.Time
}

// tx is an open transaction.
type tx struct {
	mu sync.Mutex
	c  *conn
	// slot is the transaction's slot in Pool.transactions.
	slot gate.Slot
	// lastUsed is when the last statement ended.
	lastUsed time.Time
	// ended is set once the transaction has released its connection.
	ended bool
}

// New returns a pool without connections.
func New(c Config) *Pool {
	n := max(c.Connections-reservedConnections, 2)
	s := admission.Config{LostAnswers: true}
	t := admission.Config{Slots: max(n-c.Member.Slots, 1)}
	t.ReservedSlots = min(reservedTransactions, t.Slots-1)
	for _, q := range []*admission.Config{&s, &t} {
		q.EarlyRefusal = c.EarlyRefusal
		q.Shares[bundle.Routine], q.Shares[bundle.Background] = routineShare, backgroundShare
	}
	if c.Metrics == nil {
		c.Metrics = NewMetrics()
	}
	l := newSlotLimit(c.Member.Slots, n, s)
	p := &Pool{
		config: c, slots: l.gate, limit: l, pacer: newPacer(c, n, l), transactions: gate.New(t), txs: map[string]*tx{}, abandoned: map[string]time.Time{}, lastReply: c.Now(),
		set: teamconns.New(teamconns.Config{Connections: n, Slots: c.Member.Slots}), conns: map[uint64]*conn{}, waiting: map[uint64]chan decision{},
	}
	p.slots.ShareByWeight(c.TeamWeight)
	p.transactions.ShareByWeight(c.TeamWeight)
	p.limitOpenings()
	return p
}

// Member returns the backend server.
func (p *Pool) Member() catalog.Member { return p.config.Member }

// EstimateWait predicts how long a new request of rank r would wait for a slot.
func (p *Pool) EstimateWait(r bundle.Rank) time.Duration { return p.slots.EstimateWait(r) }

// Health returns the number of failed attempts to open a connection since the
// last reply, and the time of that reply.
func (p *Pool) Health() (failures int, lastReply time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failures, p.lastReply
}

// Busy returns the number of open transactions and running requests.
func (p *Pool) Busy() int {
	n := p.slots.Running()
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.txs) + n
}

// Load is a snapshot of a pool's use.
type Load struct {
	// WaitingStatements counts the statements that wait for a slot and
	// WaitingTransactions the transactions that wait to open, by rank.
	RunningStatements   int
	WaitingStatements   [bundle.RankCount]int
	WaitingTransactions [bundle.RankCount]int
	// Connections counts all connections, including the idle ones.
	Connections      int
	IdleConnections  int
	OpenTransactions int
}

// Load returns a snapshot of the pool's use.
func (p *Pool) Load() Load {
	l := Load{RunningStatements: p.slots.Running(), WaitingStatements: p.slots.Depth(), WaitingTransactions: p.transactions.Depth()}
	p.mu.Lock()
	defer p.mu.Unlock()
	l.Connections, l.IdleConnections, l.OpenTransactions = p.set.Len(), p.set.Idle(), len(p.txs)
	return l
}

// MarkReachable records that the member answered on a connection outside of this
// pool.
func (p *Pool) MarkReachable() { p.recordReply(query.Reply{}, time.Time{}) }

// recordOpened records that the member has opened a connection, and the position that it
// told, which is zero if it holds nothing.
func (p *Pool) recordOpened(at logpos.Position, sent time.Time) {
	p.MarkReachable()
	p.config.ObservePosition(at, sent)
}

// recordReply records that the member replied, and the reply's position.
func (p *Pool) recordReply(o query.Reply, sent time.Time) {
	p.mu.Lock()
	p.lastReply, p.failures = p.config.Now(), 0
	p.mu.Unlock()
	if !o.Position.IsZero() {
		p.config.ObservePosition(o.Position, sent)
	}
}

// runStep runs a step on a connection and records the member's reply.
func (p *Pool) runStep(c *conn, s query.Step, deadline time.Time) (query.Reply, error) {
	t := p.config.Now()
	var o query.Reply
	// After a panic the connection is closed as after any other failure of it.
	err := contain.Run(p.config.Log, "member statement", func() error {
		var err error
		o, err = c.RunStep(s, deadline)
		return err
	})
	if isUnsent(err) || o.Unsent {
		return o, err
	}
	c.took = p.config.Now().Sub(t)
	p.config.Metrics.countStep(s, c.took)
	p.observeReply(c, s, o, t, err)
	return o, err
}

// observeReply records what the reply to a step that was sent at t tells about the member. A
// refusal that may be a copy tells the connection's last position again.
func (p *Pool) observeReply(c *conn, s query.Step, o query.Reply, t time.Time, err error) {
	if a := asAnswerError(err); a != nil && a.Refusal != nil {
		o, err = *a.Refusal, nil
	}
	if err == nil {
		p.recordReply(o, t)
		if needsNoSlot(s) {
			c.roundTrip = c.took
		}
	}
	if p.config.ObserveStatement != nil {
		p.observeStatement(s, o, p.config.Now().Sub(t), err)
	}
}

// observeStatement reports the outcome of a caller's statement or commit. A refusal
// that is due to the statement or to the member's role isn't a failure of the
// member.
func (p *Pool) observeStatement(s query.Step, o query.Reply, took time.Duration, err error) {
	switch s.(type) {
	case query.RunStatement, query.EndTransaction:
	default:
		return
	}
	failed := err != nil
	if err == nil && o.Failure != nil {
		switch o.Failure.Reason {
		case query.Overloaded, query.RunFailed, query.TimedOut:
			failed = true
		default:
			return
		}
	}
	p.config.ObserveStatement(took, failed)
}

// Package pool holds the connections and the queue of one backend server at the
// daemon that owns it, and runs the steps of requests there.
package pool

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"

	"github.com/dragonflypick/dragonflypick/admit"
	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/gate"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/query"
)

// Error is the class of all failures of this package.
var Error = errs.Class("pool")

// Limits of a pool.
const (
	// reservedConnections are left for status checks and for another daemon that
	// takes the member over.
	reservedConnections = 2
	// fullBackoff is how long no connection is opened after the member had none
	// left; it drops dead ones after 3 s.
	fullBackoff = 250 * time.Millisecond
	// idleTimeout closes a connection that nobody has used; members close theirs
	// after a minute.
	idleTimeout = 30 * time.Second
	// routineShare and backgroundShare are least parts of the slots, so that
	// lower ranks are served while urgent work floods.
	routineShare    = 0.1
	backgroundShare = 0.1
	// queuedStatements wait at the member itself, so that no slot there is idle while
	// an answer and the next statement are on their way.
	queuedStatements = 1
	// reservedTransactions are the open transactions that background work leaves
	// to others, so that urgent ones needn't wait for its pauses.
	reservedTransactions = 2
)

// Config holds a pool's settings.
type Config struct {
	Member catalog.Member
	// Connections is the greatest number of connections of all daemons.
	Connections int
	Dialer      Dialer
	// Observe receives the position in each reply, and when its step was sent.
	Observe func(p logpos.Position, sent time.Time)
	// Now reads the clock that goes on in a freeze.
	Now func() time.Time
	Log hclog.Logger
}

// Pool is one backend server as its owner sees it. It is safe for concurrent
// use.
type Pool struct {
	c Config
	// slots lets statements run; transactions lets them open, so that a
	// connection is left for each slot.
	slots        *gate.Gate
	transactions *gate.Gate
	// limit bounds the connections.
	limit int

	mu sync.Mutex
	// idle holds free connections, last used last; open counts all.
	idle []*conn
	open int
	// noDialUntil is until when no connection is opened.
	noDialUntil time.Time
	// waiters are notified when it is worth looking for a connection again.
	waiters []chan struct{}
	// txs holds the open transactions, abandoned when those were given up that had
	// not begun.
	txs       map[string]*tx
	abandoned map[string]time.Time
	closed    bool
	// failures counts connections that could not be opened since the last reply.
	failures  int
	lastReply time.Time
}

// tx is an open transaction.
type tx struct {
	mu sync.Mutex
	c  *conn
	// ticket is its place among the transactions.
	ticket gate.Ticket
	// lastUsed is when the last statement ended.
	lastUsed time.Time
	// ended tells that the connection isn't the transaction's any more.
	ended bool
}

// New returns a pool without connections.
func New(c Config) *Pool {
	n := max(c.Connections-reservedConnections, 2)
	s := admit.Config{Slots: c.Member.Slots + queuedStatements}
	t := admit.Config{Slots: max(n-c.Member.Slots, 1)}
	t.Reserve = min(reservedTransactions, t.Slots-1)
	for _, q := range []*admit.Config{&s, &t} {
		q.Shares[bundle.Routine], q.Shares[bundle.Background] = routineShare, backgroundShare
	}
	return &Pool{
		c: c, slots: gate.New(s), transactions: gate.New(t), limit: n, txs: map[string]*tx{}, abandoned: map[string]time.Time{}, lastReply: c.Now(),
	}
}

// Member returns the backend server.
func (p *Pool) Member() catalog.Member { return p.c.Member }

// Wait predicts how long a new request waits for a slot.
func (p *Pool) Wait(r bundle.Rank) time.Duration { return p.slots.Wait(r) }

// Health returns the number of connections that failed to open since the last
// reply, and when that was.
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

// Load is what a pool holds at a moment.
type Load struct {
	// Running counts statements, Waiting and Opening those that wait for a slot
	// and transactions that wait to open, by rank.
	Running int
	Waiting [bundle.RankCount]int
	Opening [bundle.RankCount]int
	// Open and Idle count connections, Transactions those that are held.
	Open         int
	Idle         int
	Transactions int
}

// Load returns what the pool holds.
func (p *Pool) Load() Load {
	l := Load{Running: p.slots.Running(), Waiting: p.slots.Depth(), Opening: p.transactions.Depth()}
	p.mu.Lock()
	defer p.mu.Unlock()
	l.Open, l.Idle, l.Transactions = p.open, len(p.idle), len(p.txs)
	return l
}

// Heard notes that the member answers.
func (p *Pool) Heard() { p.recordReply(query.Reply{}, time.Time{}) }

// recordReply notes a reply.
func (p *Pool) recordReply(o query.Reply, sent time.Time) {
	p.mu.Lock()
	p.lastReply, p.failures = p.c.Now(), 0
	p.mu.Unlock()
	if !o.Position.IsZero() {
		p.c.Observe(o.Position, sent)
	}
}

// do runs a step and notes its reply.
func (p *Pool) do(c *conn, s query.Step, deadline time.Time) (query.Reply, error) {
	t := p.c.Now()
	o, err := c.Do(s, deadline)
	if err == nil {
		p.recordReply(o, t)
	}
	return o, err
}

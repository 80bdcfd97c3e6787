// Package database is a stand-in for a member of a database group: SQL on
// embedded SQLite behind the PostgreSQL protocol, with asynchronous
// replication, terms, log positions, fencing and promotion.
package database

import (
	"context"
	"database/sql"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/logpos"
	// Registers the embedded database engine.
	_ "modernc.org/sqlite"
)

// Error is the class of all errors of this package.
var Error = errs.Class("standin database")

// Role is the role of a member in its group.
type Role string

// The roles of a member.
const (
	Primary Role = "primary"
	Replica Role = "replica"
)

// Config holds a member's settings.
type Config struct {
	// Listen is the IP address and port to listen on.
	Listen string
	// Password is required of every connection; empty means none.
	Password string
	// Primary is the address of the first primary; empty makes this member the
	// primary of term 1.
	Primary string
	// Lag is the replication delay of this member.
	Lag time.Duration
	// ConnectCost is the processing time of a login.
	ConnectCost time.Duration
	// StatementCost is the time for which every statement occupies a slot, in
	// addition to its execution.
	StatementCost time.Duration
	// Slots is the maximum number of statements that run concurrently.
	Slots int
	// MaxConnections is the maximum number of connections; connections of replicas
	// are accepted beyond it.
	MaxConnections int
}

// Status is the state that a member reports.
type Status struct {
	Role Role
	// Term is the highest term that the member has accepted by fence, promote
	// or follow.
	Term uint64
	// Position is the position of the last entry in the member's log.
	Position logpos.Position
	// Primary is the address that a replica replicates from; empty on a primary
	// and after a fence.
	Primary string
	// ContactAge is the time since a replica last received an answer from its
	// primary; zero on a primary.
	ContactAge time.Duration
}

// logEntry is a committed transaction in the log.
type logEntry struct {
	Position   logpos.Position   `json:"position"`
	Statements []loggedStatement `json:"statements"`
}

// loggedStatement is a write with its parameters, which replicas run again.
type loggedStatement struct {
	// SQL may hold any bytes.
	SQL  []byte  `json:"sql"`
	Args []value `json:"args,omitempty"`
}

// Member is a running member of a database group.
type Member struct {
	config   Config
	listener net.Listener
	// slots is a semaphore that holds a token for each running statement.
	slots chan struct{}
	// writeLock holds a token while a transaction writes or log entries are
	// applied.
	writeLock chan struct{}

	mu   sync.Mutex
	db   *sql.DB
	dir  string
	role Role
	term uint64
	// holder is the lease holder that fenced the member at its term.
	holder string
	// primary is the address to replicate from.
	primary string
	// epoch increases whenever role, term or primary change. Transactions and
	// pulls that began in an earlier epoch must not change the log.
	epoch uint64
	// stopPull cancels the current pull; nil before the first.
	stopPull context.CancelFunc
	log      []logEntry
	// lastContact is when the primary last accepted a connection or answered a
	// pull; until then, when the member began to replicate from it.
	lastContact time.Time
	// updated is closed and replaced when the log or the epoch changes.
	updated  chan struct{}
	sessions map[*session]struct{}
	fault    Fault
	// faultChanged is closed and replaced when fault is set.
	faultChanged chan struct{}
	// databaseCount is the number of database files created so far.
	databaseCount int
	closed        bool
}

// New creates a member and opens its listening socket.
func New(c Config) (*Member, error) {
	d, err := os.MkdirTemp("", "dragonflypick-standin-")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	m := &Member{
		config: c, listener: l, dir: d, role: Replica, term: 1, primary: c.Primary,
		slots: make(chan struct{}, c.Slots), writeLock: make(chan struct{}, 1),
		lastContact: time.Now(), updated: make(chan struct{}), faultChanged: make(chan struct{}),
		sessions: map[*session]struct{}{},
	}
	if c.Primary == "" {
		m.role = Primary
	}
	if m.db, err = m.createDatabase(); err != nil {
		return nil, err
	}
	return m, nil
}

// Address returns the address that the member listens on.
func (m *Member) Address() string { return m.listener.Addr().String() }

// Run serves clients and replicates until the context ends. The clients are
// daemons and replicas.
func (m *Member) Run(c context.Context) error {
	g, c := errgroup.WithContext(c)
	context.AfterFunc(c, func() { _ = m.listener.Close() })
	g.Go(func() error { return m.acceptConnections(c, g) })
	g.Go(func() error { return m.replicate(c) })
	err := g.Wait()
	m.close()
	if c.Err() != nil {
		return nil
	}
	return err
}

func (m *Member) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	_ = m.db.Close()
	_ = os.RemoveAll(m.dir)
}

func (m *Member) acceptConnections(c context.Context, g *errgroup.Group) error {
	for {
		n, err := m.listener.Accept()
		if err != nil {
			return Error.Wrap(err)
		}
		if m.refusesConnections() {
			_ = n.Close()
			continue
		}
		s := newSession(m, n)
		g.Go(func() error {
			s.run(c)
			return nil
		})
	}
}

// createDatabase creates an empty database; m.mu is held or m is new.
func (m *Member) createDatabase() (*sql.DB, error) {
	m.databaseCount++
	f := filepath.Join(m.dir, strconv.Itoa(m.databaseCount)+".db")
	d, err := sql.Open("sqlite", "file:"+f+"?_pragma=journal_mode(WAL)&_pragma=synchronous(OFF)&_pragma=busy_timeout(5000)&_pragma=foreign_keys(1)")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	d.SetMaxIdleConns(m.config.MaxConnections)
	return d, nil
}

// Running reports whether the member has not been stopped.
func (m *Member) Running() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.closed
}

// Status returns the member's status.
func (m *Member) Status() Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Status{Role: m.role, Term: m.term, Position: m.position(), Primary: m.primary, ContactAge: m.contactAge()}
}

// hasEntry reports whether the log contains the entry at p, and the member's
// status at the same moment.
func (m *Member) hasEntry(p logpos.Position) (bool, Status) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := p.Offset
	h := n > 0 && n <= uint64(len(m.log)) && m.log[n-1].Position == p
	return h, Status{Role: m.role, Term: m.term, Position: m.position(), Primary: m.primary, ContactAge: m.contactAge()}
}

func (m *Member) contactAge() time.Duration {
	if m.role == Primary {
		return 0
	}
	return time.Since(m.lastContact)
}

func (m *Member) position() logpos.Position {
	if len(m.log) == 0 {
		return logpos.Position{}
	}
	return m.log[len(m.log)-1].Position
}

// Fence makes the member refuse writes and replication of all terms below t. For
// one term it succeeds only for the first holder that requests it.
func (m *Member) Fence(t uint64, holder string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if t < m.term || t == m.term && m.holder != holder {
		return Error.Wrap(&TermError{Requested: t, Current: m.term, Holder: m.holder})
	}
	if t == m.term {
		return nil
	}
	m.term, m.holder = t, holder
	m.role, m.primary = Replica, ""
	m.startEpoch()
	return nil
}

// Promote makes the member the primary of term t. The holder must have fenced the
// member at that term.
func (m *Member) Promote(t uint64, holder string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if t != m.term || holder != m.holder {
		return Error.Wrap(&TermError{Requested: t, Current: m.term, Holder: m.holder})
	}
	if m.role == Primary {
		return nil
	}
	m.role, m.primary = Primary, ""
	m.appendTransaction(nil)
	m.startEpoch()
	return nil
}

// Follow makes the member a replica of the primary of term t.
func (m *Member) Follow(t uint64, primary string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if t < m.term || t == m.term && m.role == Primary {
		return Error.Wrap(&TermError{Requested: t, Current: m.term, Holder: m.holder})
	}
	if t == m.term && m.primary == primary {
		return nil
	}
	if t > m.term {
		m.holder = ""
	}
	m.term, m.role, m.primary = t, Replica, primary
	m.lastContact = time.Now()
	m.startEpoch()
	return nil
}

// appendTransaction adds a transaction to the primary's log; m.mu is held.
func (m *Member) appendTransaction(s []loggedStatement) logpos.Position {
	p := logpos.Position{Term: m.term, Offset: m.position().Offset + 1}
	m.log = append(m.log, logEntry{Position: p, Statements: s})
	close(m.updated)
	m.updated = make(chan struct{})
	return p
}

// startEpoch starts the next epoch. It cancels the pull and the running statements
// of writing transactions; reads continue. m.mu is held.
func (m *Member) startEpoch() {
	m.epoch++
	if m.stopPull != nil {
		m.stopPull()
	}
	for s := range m.sessions {
		if s.writeLockRequested.Load() {
			s.interruptStatement()
		}
	}
	close(m.updated)
	m.updated = make(chan struct{})
}

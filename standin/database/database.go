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
	// The embedded database engine.
	_ "modernc.org/sqlite"
)

// Error is the class of all failures of this package.
var Error = errs.Class("standin database")

// Role is what a member does in its group.
type Role string

// The roles of a member.
const (
	Primary Role = "primary"
	Replica Role = "replica"
)

// Config holds a member's settings.
type Config struct {
	// Listen is the IP address and port for callers.
	Listen string
	// Password is asked of every connection; empty means none.
	Password string
	// Primary is the address of the first primary; empty makes this member the
	// primary of term 1.
	Primary string
	// Lag delays replication to this member.
	Lag time.Duration
	// ConnectCost is the processing time of a log-in.
	ConnectCost time.Duration
	// StatementCost is the slot time of every statement.
	StatementCost time.Duration
	// Slots is the number of statements that run at a time.
	Slots int
	// MaxConnections is the greatest number of connections.
	MaxConnections int
}

// Status is what a member reports of itself.
type Status struct {
	Role Role
	// Term is the highest term that the member has accepted by fence, promote
	// or follow.
	Term uint64
	// Position is the last entry in the member's log.
	Position logpos.Position
	// Primary is the address that the member follows; empty on a primary.
	Primary string
	// ContactAge is how long ago a replica last heard from its primary.
	ContactAge time.Duration
}

// entry is one committed transaction in the log.
type entry struct {
	Position   logpos.Position `json:"position"`
	Statements []command       `json:"statements"`
}

// command is one statement with its parameters.
type command struct {
	SQL  string  `json:"sql"`
	Args []value `json:"args,omitempty"`
}

// Member is a running member of a database group.
type Member struct {
	c Config
	l net.Listener
	// slots holds a token for each statement that may run.
	slots chan struct{}
	// writer holds a token while a transaction may write.
	writer chan struct{}

	mu     sync.Mutex
	db     *sql.DB
	dir    string
	role   Role
	term   uint64
	holder string
	// primary is the address to replicate from.
	primary string
	// epoch rises whenever role, term or primary change; work of an older
	// epoch must not change the log.
	epoch uint64
	// unfollow ends the pull that runs; nil before the first.
	unfollow context.CancelFunc
	log      []entry
	// contact is when the primary last answered a pull.
	contact time.Time
	// grown is closed and replaced when log grows.
	grown    chan struct{}
	sessions map[*session]struct{}
	fault    Fault
	// released is closed and replaced when a fault ends.
	released chan struct{}
	files    int
	closed   bool
}

// New makes a member and opens its listening socket.
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
		c: c, l: l, dir: d, role: Replica, term: 1, primary: c.Primary,
		slots: make(chan struct{}, c.Slots), writer: make(chan struct{}, 1),
		contact: time.Now(), grown: make(chan struct{}), released: make(chan struct{}),
		sessions: map[*session]struct{}{},
	}
	if c.Primary == "" {
		m.role = Primary
	}
	if m.db, err = m.create(); err != nil {
		return nil, err
	}
	return m, nil
}

// Address returns the address that the member listens on.
func (m *Member) Address() string { return m.l.Addr().String() }

// Run serves callers and replicates until the context ends.
func (m *Member) Run(c context.Context) error {
	g, c := errgroup.WithContext(c)
	context.AfterFunc(c, func() { _ = m.l.Close() })
	g.Go(func() error { return m.accept(c, g) })
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

func (m *Member) accept(c context.Context, g *errgroup.Group) error {
	for {
		n, err := m.l.Accept()
		if err != nil {
			return Error.Wrap(err)
		}
		if m.refusing() {
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

// create makes an empty database; m.mu is held or m is new.
func (m *Member) create() (*sql.DB, error) {
	m.files++
	f := filepath.Join(m.dir, strconv.Itoa(m.files)+".db")
	d, err := sql.Open("sqlite", "file:"+f+"?_pragma=journal_mode(WAL)&_pragma=synchronous(OFF)&_pragma=busy_timeout(5000)&_pragma=foreign_keys(1)")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	d.SetMaxIdleConns(m.c.MaxConnections)
	return d, nil
}

// Running reports whether the member still runs.
func (m *Member) Running() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.closed
}

// Status reports role, term and position.
func (m *Member) Status() Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Status{Role: m.role, Term: m.term, Position: m.position(), Primary: m.primary, ContactAge: m.contactAge()}
}

// holds reports whether the log holds the entry at p, and the status of the
// same moment.
func (m *Member) holds(p logpos.Position) (bool, Status) {
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
	return time.Since(m.contact)
}

func (m *Member) position() logpos.Position {
	if len(m.log) == 0 {
		return logpos.Position{}
	}
	return m.log[len(m.log)-1].Position
}

// Fence makes the member refuse writes and replication of all terms below t.
// It succeeds once a term: only for the first holder that asks.
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
	m.changed()
	return nil
}

// Promote makes the member the primary of term t, which its holder must have
// fenced here.
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
	m.append(nil)
	m.changed()
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
	m.contact = time.Now()
	m.changed()
	return nil
}

// append adds a transaction of this primary to the log; m.mu is held.
func (m *Member) append(s []command) logpos.Position {
	p := logpos.Position{Term: m.term, Offset: m.position().Offset + 1}
	m.log = append(m.log, entry{Position: p, Statements: s})
	close(m.grown)
	m.grown = make(chan struct{})
	return p
}

// changed ends the writing transactions of the epoch before; reads go on. m.mu
// is held.
func (m *Member) changed() {
	m.epoch++
	if m.unfollow != nil {
		m.unfollow()
	}
	for s := range m.sessions {
		if s.wants.Load() {
			s.interrupt()
		}
	}
	close(m.grown)
	m.grown = make(chan struct{})
}

package database

import (
	"context"
	"database/sql"
	"encoding/json"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/dragonflypick/dragonflypick/logpos"
)

// Replication timing.
const (
	// replicationRetry is the pause after a failed pull.
	replicationRetry = 20 * time.Millisecond
	// replicationWait is the longest wait of one pull for new entries.
	replicationWait = 500 * time.Millisecond
	// replicationTimeout bounds one pull, after which a fresh connection is
	// tried: soon enough that a silent connection alone doesn't pass for a
	// primary that is cut off.
	replicationTimeout = 900 * time.Millisecond
	// rebuildTimeout bounds the replacement of the whole log.
	rebuildTimeout = time.Minute
	// replicationBatch is the greatest number of entries in one pull.
	replicationBatch = 256
)

// source is what a replica pulls from.
type source struct {
	address string
	term    uint64
	epoch   uint64
	after   logpos.Position
	stopped bool
	// released is closed when the member's faults change.
	released chan struct{}
	// changed is closed when role or log change.
	changed chan struct{}
	lag     time.Duration
}

func (m *Member) source() source {
	m.mu.Lock()
	defer m.mu.Unlock()
	return source{
		address: m.primary, term: m.term, epoch: m.epoch, after: m.position(), lag: m.c.Lag,
		stopped: m.role == Primary || m.primary == "" || m.fault.StopReplication || m.fault.Freeze,
		changed: m.grown, released: m.released,
	}
}

// replicate pulls from the primary until the context ends.
func (m *Member) replicate(c context.Context) error {
	var n *pgconn.PgConn
	var a string
	for c.Err() == nil {
		s := m.source()
		if s.stopped {
			select {
			case <-c.Done():
			case <-s.changed:
			case <-s.released:
			}
			continue
		}
		if n != nil && a != s.address {
			_ = n.Close(c)
			n = nil
		}
		x, stop := m.following(c, s.epoch)
		var err error
		if n == nil {
			a = s.address
			n, err = m.dial(x, a)
		}
		if err == nil {
			err = m.pull(x, n, s)
		}
		stop()
		if err != nil {
			if n != nil {
				_ = n.Close(c)
				n = nil
			}
			pause(c, replicationRetry)
		}
	}
	return nil
}

// following returns a context that ends with the epoch, so that a new primary
// is followed at once even if the old one doesn't answer.
func (m *Member) following(c context.Context, epoch uint64) (context.Context, context.CancelFunc) {
	c, stop := context.WithCancel(c)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unfollow = stop
	if m.epoch != epoch {
		stop()
	}
	return c, stop
}

func (m *Member) dial(c context.Context, a string) (*pgconn.PgConn, error) {
	c, stop := context.WithTimeout(c, replicationTimeout)
	defer stop()
	f, err := pgconn.ParseConfig("postgres://replication@" + a + "/replication?sslmode=disable")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	f.Password = m.c.Password
	n, err := pgconn.ConnectConfig(c, f)
	if err == nil {
		m.mu.Lock()
		m.contact = time.Now()
		m.mu.Unlock()
	}
	return n, Error.Wrap(err)
}

// batch is the answer to one pull.
type batch struct {
	// Reset says that the replica's log is not a prefix of the primary's.
	Reset   bool    `json:"reset"`
	Entries []entry `json:"entries"`
}

func (m *Member) pull(c context.Context, n *pgconn.PgConn, s source) error {
	x, stop := context.WithTimeout(c, replicationTimeout)
	defer stop()
	b, err := ask(x, n, s.after, s.term)
	if err != nil {
		return err
	}
	m.mu.Lock()
	if m.epoch == s.epoch {
		m.contact = time.Now()
	}
	m.mu.Unlock()
	if len(b.Entries) > 0 || b.Reset {
		pause(c, s.lag)
	}
	if b.Reset {
		y, end := context.WithTimeout(c, rebuildTimeout)
		defer end()
		return m.rebuild(y, n, s)
	}
	return m.apply(c, b, s.epoch)
}

// ask asks the primary for the entries after p.
func ask(c context.Context, n *pgconn.PgConn, p logpos.Position, term uint64) (batch, error) {
	var b batch
	r, err := n.Exec(c, "SELECT log_after('"+p.String()+"', "+uitoa(term)+")").ReadAll()
	if err != nil {
		return b, Error.Wrap(err)
	}
	if len(r) != 1 || len(r[0].Rows) != 1 {
		return b, Error.Wrap(&StatementError{Code: codeProtocol, Message: "pull gave no answer"})
	}
	return b, Error.Wrap(json.Unmarshal(r[0].Rows[0][0], &b))
}

// rebuild replaces database and log by the primary's. The member keeps and
// reports its own log until the new one is whole: a log that was on a majority
// must not vanish from a member that can still be promoted.
func (m *Member) rebuild(c context.Context, n *pgconn.PgConn, s source) error {
	var l []entry
	for p := (logpos.Position{}); ; p = l[len(l)-1].Position {
		b, err := ask(c, n, p, s.term)
		if err != nil {
			return err
		}
		l = append(l, b.Entries...)
		if len(b.Entries) < replicationBatch {
			break
		}
	}
	m.mu.Lock()
	d, err := m.create()
	m.mu.Unlock()
	if err != nil {
		return err
	}
	if err := replay(c, d, l); err != nil {
		_ = d.Close()
		return err
	}
	m.writer <- struct{}{}
	defer func() { <-m.writer }()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.epoch != s.epoch || m.fault.StopReplication {
		return Error.Wrap(d.Close())
	}
	_ = m.db.Close()
	m.db, m.log = d, l
	close(m.grown)
	m.grown = make(chan struct{})
	return nil
}

// replay runs the statements of log entries in one transaction.
func replay(c context.Context, d *sql.DB, l []entry) error {
	t, err := d.BeginTx(c, nil)
	if err != nil {
		return Error.Wrap(err)
	}
	for _, e := range l {
		for _, s := range e.Statements {
			if _, err := t.ExecContext(c, s.SQL, anys(s.Args)...); err != nil {
				_ = t.Rollback()
				return Error.Wrap(err)
			}
		}
	}
	return Error.Wrap(t.Commit())
}

// apply adds pulled entries unless the member's epoch has changed since.
func (m *Member) apply(c context.Context, b batch, epoch uint64) error {
	m.writer <- struct{}{}
	defer func() { <-m.writer }()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.epoch != epoch || m.fault.StopReplication {
		return nil
	}
	if len(b.Entries) == 0 {
		return nil
	}
	if err := replay(c, m.db, b.Entries); err != nil {
		return err
	}
	m.log = append(m.log, b.Entries...)
	close(m.grown)
	m.grown = make(chan struct{})
	return nil
}

// logAfter answers a pull; it waits a while for entries after p.
func (m *Member) logAfter(c context.Context, p logpos.Position, term uint64) (*batch, error) {
	d := time.NewTimer(replicationWait)
	defer d.Stop()
	for {
		m.mu.Lock()
		b, err := m.batchAfter(p, term)
		g := m.grown
		m.mu.Unlock()
		if err != nil || b != nil {
			return b, err
		}
		select {
		case <-g:
		case <-d.C:
			return &batch{}, nil
		case <-c.Done():
			return nil, Error.Wrap(c.Err())
		}
	}
}

// batchAfter returns nil if there is nothing after p yet; m.mu is held.
func (m *Member) batchAfter(p logpos.Position, term uint64) (*batch, error) {
	if m.role != Primary || m.term != term {
		return nil, Error.Wrap(&TermError{Requested: term, Current: m.term, Holder: m.holder})
	}
	n := p.Offset
	if n > uint64(len(m.log)) || n > 0 && m.log[n-1].Position != p {
		return &batch{Reset: true}, nil
	}
	if n == uint64(len(m.log)) {
		return nil, nil
	}
	e := min(n+replicationBatch, uint64(len(m.log)))
	return &batch{Entries: m.log[n:e]}, nil
}

func pause(c context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-c.Done():
	case <-t.C:
	}
}

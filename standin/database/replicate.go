package database

import (
	"context"
	"database/sql"
	"encoding/json"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/dragonflypick/dragonflypick/logpos"
)

// Limits and intervals of replication.
const (
	// pullRetryDelay is the delay after a failed pull.
	pullRetryDelay = 20 * time.Millisecond
	// pullWait is the primary's maximum wait for new entries before it answers a
	// pull.
	pullWait = 500 * time.Millisecond
	// pullTimeout limits one pull, after which the replica opens a new
	// connection. It is short so that one silent connection isn't mistaken for an
	// unreachable primary.
	pullTimeout = 900 * time.Millisecond
	// rebuildTimeout limits the replacement of the complete log.
	rebuildTimeout = time.Minute
	// maxBatchEntries is the maximum number of entries in one pull.
	maxBatchEntries = 256
)

// pullParameters holds the parameters of a pull, read under one lock.
type pullParameters struct {
	address string
	term    uint64
	epoch   uint64
	// after is the last position in this member's log.
	after logpos.Position
	// stopped is true if this member doesn't replicate now.
	stopped bool
	// faultChanged is closed when the member's faults change.
	faultChanged chan struct{}
	// updated is closed when the log or the epoch changes.
	updated chan struct{}
	lag     time.Duration
}

func (m *Member) pullParameters() pullParameters {
	m.mu.Lock()
	defer m.mu.Unlock()
	return pullParameters{
		address: m.primary, term: m.term, epoch: m.epoch, after: m.position(), lag: m.config.Lag,
		stopped: m.role == Primary || m.primary == "" || m.fault.StopReplication || m.fault.Freeze,
		updated: m.updated, faultChanged: m.faultChanged,
	}
}

// replicate pulls from the primary until the context ends.
func (m *Member) replicate(c context.Context) error {
	var n *pgconn.PgConn
	var a string
	for c.Err() == nil {
		s := m.pullParameters()
		if s.stopped {
			select {
			case <-c.Done():
			case <-s.updated:
			case <-s.faultChanged:
			}
			continue
		}
		if n != nil && a != s.address {
			_ = n.Close(c)
			n = nil
		}
		x, stop := m.pullContext(c, s.epoch)
		var err error
		if n == nil {
			a = s.address
			n, err = m.dialPrimary(x, a)
		}
		if err == nil {
			err = m.pullOnce(x, n, s)
		}
		stop()
		if err != nil {
			if n != nil {
				_ = n.Close(c)
				n = nil
			}
			sleep(c, pullRetryDelay)
		}
	}
	return nil
}

// pullContext returns a context that ends with the epoch, so that the member
// replicates from a new primary immediately even if the old one doesn't answer.
func (m *Member) pullContext(c context.Context, epoch uint64) (context.Context, context.CancelFunc) {
	c, stop := context.WithCancel(c)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopPull = stop
	if m.epoch != epoch {
		stop()
	}
	return c, stop
}

func (m *Member) dialPrimary(c context.Context, a string) (*pgconn.PgConn, error) {
	c, stop := context.WithTimeout(c, pullTimeout)
	defer stop()
	f, err := pgconn.ParseConfig("postgres://replication@" + a + "/replication?sslmode=disable")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	f.Password = m.config.Password
	n, err := pgconn.ConnectConfig(c, f)
	if err == nil {
		m.mu.Lock()
		m.lastContact = time.Now()
		m.mu.Unlock()
	}
	return n, Error.Wrap(err)
}

// logBatch is the answer to a pull.
type logBatch struct {
	// Reset is true if the replica's log is not a prefix of the primary's, so that
	// the replica has to rebuild it.
	Reset   bool       `json:"reset"`
	Entries []logEntry `json:"entries"`
}

func (m *Member) pullOnce(c context.Context, n *pgconn.PgConn, s pullParameters) error {
	x, stop := context.WithTimeout(c, pullTimeout)
	defer stop()
	b, err := fetchBatch(x, n, s.after, s.term)
	if err != nil {
		return err
	}
	m.mu.Lock()
	if m.epoch == s.epoch {
		m.lastContact = time.Now()
	}
	m.mu.Unlock()
	if len(b.Entries) > 0 || b.Reset {
		sleep(c, s.lag)
	}
	if b.Reset {
		y, end := context.WithTimeout(c, rebuildTimeout)
		defer end()
		return m.rebuild(y, n, s)
	}
	return m.appendEntries(c, b, s.epoch)
}

// fetchBatch requests the entries after p from the primary.
func fetchBatch(c context.Context, n *pgconn.PgConn, p logpos.Position, term uint64) (logBatch, error) {
	var b logBatch
	r, err := n.Exec(c, "SELECT log_after('"+p.String()+"', "+formatUint(term)+")").ReadAll()
	if err != nil {
		return b, Error.Wrap(err)
	}
	if len(r) != 1 || len(r[0].Rows) != 1 {
		return b, Error.Wrap(&StatementError{Code: codeProtocol, Message: "pull gave no answer"})
	}
	return b, Error.Wrap(json.Unmarshal(r[0].Rows[0][0], &b))
}

// rebuild replaces the database and the log by the primary's. The member keeps
// and reports its own log until the new one is complete: entries that were on a
// majority must not disappear from a member that can still be promoted.
func (m *Member) rebuild(c context.Context, n *pgconn.PgConn, s pullParameters) error {
	var l []logEntry
	for p := (logpos.Position{}); ; p = l[len(l)-1].Position {
		b, err := fetchBatch(c, n, p, s.term)
		if err != nil {
			return err
		}
		l = append(l, b.Entries...)
		if len(b.Entries) < maxBatchEntries {
			break
		}
	}
	m.mu.Lock()
	d, err := m.createDatabase()
	m.mu.Unlock()
	if err != nil {
		return err
	}
	if err := applyEntries(c, d, l); err != nil {
		_ = d.Close()
		return err
	}
	m.writeLock <- struct{}{}
	defer func() { <-m.writeLock }()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.epoch != s.epoch || m.fault.StopReplication {
		return Error.Wrap(d.Close())
	}
	_ = m.db.Close()
	m.db, m.log = d, l
	close(m.updated)
	m.updated = make(chan struct{})
	return nil
}

// applyEntries runs the statements of log entries in one database transaction.
func applyEntries(c context.Context, d *sql.DB, l []logEntry) error {
	t, err := d.BeginTx(c, nil)
	if err != nil {
		return Error.Wrap(err)
	}
	for _, e := range l {
		for _, s := range e.Statements {
			if _, err := t.ExecContext(c, string(s.SQL), sqlArguments(s.Args)...); err != nil {
				_ = t.Rollback()
				return Error.Wrap(err)
			}
		}
	}
	return Error.Wrap(t.Commit())
}

// appendEntries applies pulled entries and adds them to the log, unless the
// member's epoch has changed since the pull or replication has been stopped.
func (m *Member) appendEntries(c context.Context, b logBatch, epoch uint64) error {
	m.writeLock <- struct{}{}
	defer func() { <-m.writeLock }()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.epoch != epoch || m.fault.StopReplication {
		return nil
	}
	if len(b.Entries) == 0 {
		return nil
	}
	if err := applyEntries(c, m.db, b.Entries); err != nil {
		return err
	}
	m.log = append(m.log, b.Entries...)
	close(m.updated)
	m.updated = make(chan struct{})
	return nil
}

// logAfter answers a replica's pull; it waits up to pullWait for entries after p.
func (m *Member) logAfter(c context.Context, p logpos.Position, term uint64) (*logBatch, error) {
	d := time.NewTimer(pullWait)
	defer d.Stop()
	for {
		m.mu.Lock()
		b, err := m.batchAfter(p, term)
		g := m.updated
		m.mu.Unlock()
		if err != nil || b != nil {
			return b, err
		}
		select {
		case <-g:
		case <-d.C:
			return &logBatch{}, nil
		case <-c.Done():
			return nil, Error.Wrap(c.Err())
		}
	}
}

// batchAfter returns the entries after p, nil if there are none, or a batch with
// Reset if p isn't in the log; m.mu is held.
func (m *Member) batchAfter(p logpos.Position, term uint64) (*logBatch, error) {
	if m.role != Primary || m.term != term {
		return nil, Error.Wrap(&TermError{Requested: term, Current: m.term, Holder: m.holder})
	}
	n := p.Offset
	if n > uint64(len(m.log)) || n > 0 && m.log[n-1].Position != p {
		return &logBatch{Reset: true}, nil
	}
	if n == uint64(len(m.log)) {
		return nil, nil
	}
	e := min(n+maxBatchEntries, uint64(len(m.log)))
	return &logBatch{Entries: m.log[n:e]}, nil
}

func sleep(c context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-c.Done():
	case <-t.C:
	}
}

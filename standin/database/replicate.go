package database

import (
	"context"
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
	// replicationTimeout bounds one pull.
	replicationTimeout = 2 * time.Second
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
		var err error
		if n == nil {
			a = s.address
			n, err = m.dial(c, a)
		}
		if err == nil {
			err = m.pull(c, n, s)
		}
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

func (m *Member) dial(c context.Context, a string) (*pgconn.PgConn, error) {
	c, stop := context.WithTimeout(c, replicationTimeout)
	defer stop()
	f, err := pgconn.ParseConfig("postgres://replication@" + a + "/replication?sslmode=disable")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	f.Password = m.c.Password
	n, err := pgconn.ConnectConfig(c, f)
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
	q := "SELECT log_after('" + s.after.String() + "', " + uitoa(s.term) + ")"
	r, err := n.Exec(x, q).ReadAll()
	if err != nil {
		return Error.Wrap(err)
	}
	if len(r) != 1 || len(r[0].Rows) != 1 {
		return Error.Wrap(&StatementError{Code: codeProtocol, Message: "pull gave no answer"})
	}
	var b batch
	if err := json.Unmarshal(r[0].Rows[0][0], &b); err != nil {
		return Error.Wrap(err)
	}
	m.mu.Lock()
	if m.epoch == s.epoch {
		m.contact = time.Now()
	}
	m.mu.Unlock()
	if len(b.Entries) > 0 || b.Reset {
		pause(c, s.lag)
	}
	return m.apply(c, b, s.epoch)
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
	if b.Reset {
		return m.reset()
	}
	if len(b.Entries) == 0 {
		return nil
	}
	t, err := m.db.BeginTx(c, nil)
	if err != nil {
		return Error.Wrap(err)
	}
	for _, e := range b.Entries {
		for _, s := range e.Statements {
			if _, err := t.ExecContext(c, s.SQL, anys(s.Args)...); err != nil {
				_ = t.Rollback()
				return Error.Wrap(err)
			}
		}
	}
	if err := t.Commit(); err != nil {
		return Error.Wrap(err)
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
		return nil, Error.Wrap(&TermError{Asked: term, Have: m.term, Holder: m.holder})
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

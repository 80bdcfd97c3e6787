package database

import (
	"context"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/dragonflypick/dragonflypick/statement"
)

func (s *session) explicit() bool { return s.open && s.began }

// start begins to run a portal; a later step gives its rows.
func (s *session) start(c context.Context, p *portal, multi bool) error {
	k := statement.Classify(p.sql)
	if s.failed && k.Kind != statement.End {
		return &StatementError{Code: codeInTransaction, Message: "current transaction is aborted, commands ignored until end of transaction block"}
	}
	switch k.Kind {
	case statement.Begin, statement.BeginReadOnly:
		return s.begin(p)
	case statement.End:
		return s.end(c, p)
	case statement.Empty:
		p.run = &running{}
		return nil
	case statement.Ignored:
		p.run = &running{tag: "SET"}
		return nil
	}
	if r, err := s.builtin(c, p.sql); r != nil || err != nil {
		p.run = r
		return err
	}
	return s.startSQL(c, p, k.Kind != statement.Read, multi)
}

func (s *session) startSQL(c context.Context, p *portal, write, multi bool) error {
	x, stop := s.running(c)
	if err := s.prepare(x, write || multi || s.open, write); err != nil {
		stop()
		return err
	}
	free, err := s.slot(x)
	if err != nil {
		stop()
		return err
	}
	done := func() {
		free()
		stop()
	}
	r, err := s.conn.QueryContext(x, p.sql, anys(p.args)...)
	if err != nil {
		done()
		return err
	}
	f, err := fieldsOf(r)
	if err != nil {
		_ = r.Close()
		done()
		return err
	}
	p.run = &running{rows: r, fields: f, tag: tagOf(p.sql), stop: done, write: write}
	if write {
		s.pending = append(s.pending, command{SQL: p.sql, Args: p.args})
	}
	return nil
}

// running returns a context that a cancel request ends.
func (s *session) running(c context.Context) (context.Context, func()) {
	x, stop := context.WithCancel(c)
	s.mu.Lock()
	s.cancel = stop
	s.mu.Unlock()
	return x, func() {
		s.mu.Lock()
		s.cancel = nil
		s.mu.Unlock()
		stop()
	}
}

// prepare opens a connection to the engine and, if needed, a transaction.
func (s *session) prepare(c context.Context, transaction, write bool) error {
	if err := s.connect(c); err != nil {
		return err
	}
	if s.open && !s.current() {
		return &StatementError{Code: codeFenced, Message: "transaction ended by a change of role"}
	}
	if write && !s.writing {
		if err := s.lockWriter(c); err != nil {
			return err
		}
	}
	if transaction && !s.open {
		s.open = true
		s.epoch = s.m.currentEpoch()
	}
	if transaction && !s.engine {
		b := "BEGIN"
		if write {
			b = "BEGIN IMMEDIATE"
		}
		if _, err := s.conn.ExecContext(c, b); err != nil {
			return err
		}
		s.engine = true
	}
	return nil
}

// connect opens a connection to the engine, anew if the member's database was
// replaced.
func (s *session) connect(c context.Context) error {
	s.m.mu.Lock()
	d := s.m.db
	s.m.mu.Unlock()
	if s.conn != nil && (s.db == d || s.engine) {
		return nil
	}
	if s.conn != nil {
		_ = s.conn.Close()
		s.conn = nil
	}
	n, err := d.Conn(context.WithoutCancel(c))
	if err != nil {
		return err
	}
	s.conn, s.db = n, d
	return nil
}

func (m *Member) currentEpoch() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.epoch
}

func (s *session) current() bool { return s.epoch == s.m.currentEpoch() }

// lockWriter takes the writer token and checks that the member is primary.
func (s *session) lockWriter(c context.Context) error {
	s.m.mu.Lock()
	r := s.m.role
	s.m.mu.Unlock()
	if r != Primary {
		return &StatementError{Code: codeReadOnly, Message: "cannot execute statement in a read-only transaction: member is a replica"}
	}
	x, stop := context.WithTimeout(c, deadline)
	defer stop()
	s.wants.Store(true)
	select {
	case s.m.writer <- struct{}{}:
		s.writing = true
		return nil
	case <-x.Done():
		s.wants.Store(false)
		return Error.Wrap(x.Err())
	}
}

func (s *session) begin(p *portal) error {
	p.run = &running{tag: "BEGIN"}
	s.open, s.began = true, true
	s.epoch = s.m.currentEpoch()
	return nil
}

func (s *session) end(c context.Context, p *portal) error {
	w := strings.ToUpper(strings.Fields(p.sql)[0])
	if w == "ROLLBACK" || w == "ABORT" || s.failed {
		s.rollback()
		p.run = &running{tag: "ROLLBACK"}
		return nil
	}
	p.run = &running{tag: "COMMIT"}
	return s.finish(c)
}

// finish commits the open transaction and reports its log position.
func (s *session) finish(c context.Context) error {
	defer s.rollback()
	if !s.engine {
		return nil
	}
	if !s.writing {
		_, err := s.conn.ExecContext(context.WithoutCancel(c), "COMMIT")
		s.engine = err != nil
		return err
	}
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	if s.epoch != s.m.epoch || s.m.role != Primary {
		return &StatementError{Code: codeFenced, Message: "transaction rolled back: the member was fenced"}
	}
	if _, err := s.conn.ExecContext(context.WithoutCancel(c), "COMMIT"); err != nil {
		return err
	}
	s.engine = false
	if len(s.pending) > 0 {
		p := s.m.append(s.pending)
		s.b.Send(&pgproto3.ParameterStatus{Name: PositionParameter, Value: p.String()})
	}
	return nil
}

// PositionParameter is reported with the log position of each committed write.
const PositionParameter = "member_position"

// rollback ends the open transaction, if any.
func (s *session) rollback() {
	for _, p := range s.portals {
		if p.run != nil {
			p.run.close()
		}
	}
	if s.engine {
		_, _ = s.conn.ExecContext(context.Background(), "ROLLBACK")
		s.engine = false
	}
	if s.writing {
		<-s.m.writer
		s.writing = false
		s.wants.Store(false)
	}
	s.open, s.began, s.failed, s.pending, s.idle = false, false, false, nil, 0
}

// abort handles a failed statement.
func (s *session) abort() {
	if !s.explicit() {
		s.rollback()
		return
	}
	for _, p := range s.portals {
		if p.run != nil {
			p.run.close()
		}
	}
	s.failed = true
}

// step sends up to limit rows of the portal, all if limit is 0, and reports
// whether the portal is finished.
func (s *session) step(c context.Context, p *portal, limit int) (bool, error) {
	r := p.run
	n := 0
	for limit == 0 || n < limit {
		v, err := r.next()
		if err != nil {
			r.close()
			return false, err
		}
		if v == nil {
			return true, s.complete(c, p)
		}
		s.b.Send(rowOf(v, p))
		n++
		r.count++
		if n%flushRows == 0 {
			if err := s.flush(c); err != nil {
				r.close()
				return false, err
			}
		}
	}
	s.b.Send(&pgproto3.PortalSuspended{})
	return false, nil
}

// flushRows is the number of rows after which the answer is sent on.
const flushRows = 64

func (s *session) complete(c context.Context, p *portal) error {
	r := p.run
	if r.write && r.fields == nil {
		if err := s.conn.QueryRowContext(c, "SELECT changes()").Scan(&r.count); err != nil {
			r.close()
			return err
		}
	}
	r.close()
	if r.tag == "" {
		s.b.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	s.b.Send(&pgproto3.CommandComplete{CommandTag: []byte(r.fullTag())})
	return nil
}

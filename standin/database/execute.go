package database

import (
	"context"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/dragonflypick/dragonflypick/statement"
)

func (s *session) inExplicitTransaction() bool { return s.inTransaction && s.explicitBegin }

// startPortal starts the statement of a portal; sendRows sends its rows. multi
// marks a statement of a simple query with several statements, which form one
// transaction.
func (s *session) startPortal(c context.Context, p *portal, multi bool) error {
	k := statement.Classify(p.sql)
	if s.transactionFailed && k.Kind != statement.End {
		return &StatementError{Code: codeFailedTransaction, Message: "current transaction is aborted, commands ignored until end of transaction block"}
	}
	switch k.Kind {
	case statement.Begin, statement.BeginReadOnly:
		return s.beginTransaction(p)
	case statement.End:
		return s.endTransaction(c, p)
	case statement.Empty:
		p.result = &result{}
		return nil
	case statement.Ignored:
		p.result = &result{tag: "SET"}
		return nil
	}
	if r, err := s.callFunction(c, p.sql); r != nil || err != nil {
		p.result = r
		return err
	}
	return s.startStatement(c, p, k.Kind != statement.Read, multi)
}

func (s *session) startStatement(c context.Context, p *portal, write, multi bool) error {
	x, stop := s.cancelableContext(c)
	if err := s.prepareEngine(x, write || multi || s.inTransaction, write); err != nil {
		stop()
		return err
	}
	free, err := s.takeSlot(x)
	if err != nil {
		stop()
		return err
	}
	done := func() {
		free()
		stop()
	}
	r, err := s.engineConn.QueryContext(x, p.sql, sqlArguments(p.args)...)
	if err != nil {
		done()
		return err
	}
	f, err := columnFields(r)
	if err != nil {
		_ = r.Close()
		done()
		return err
	}
	p.result = &result{rows: r, fields: f, tag: statementTag(p.sql), release: done, write: write}
	if write {
		s.pendingWrites = append(s.pendingWrites, loggedStatement{SQL: []byte(p.sql), Args: p.args})
	}
	return nil
}

// cancelableContext returns a context for a statement; interruptStatement cancels
// it.
func (s *session) cancelableContext(c context.Context) (context.Context, func()) {
	x, stop := context.WithCancel(c)
	s.mu.Lock()
	s.cancelStatement = stop
	s.mu.Unlock()
	return x, func() {
		s.mu.Lock()
		s.cancelStatement = nil
		s.mu.Unlock()
		stop()
	}
}

// prepareEngine connects to the engine, takes the write lock for a write and, if
// needed, opens a transaction.
func (s *session) prepareEngine(c context.Context, transaction, write bool) error {
	if err := s.connectEngine(c); err != nil {
		return err
	}
	if s.inTransaction && !s.inCurrentEpoch() {
		return &StatementError{Code: codeFenced, Message: "transaction ended by a change of role"}
	}
	if write && !s.holdsWriteLock {
		if err := s.acquireWriteLock(c); err != nil {
			return err
		}
	}
	if transaction && !s.inTransaction {
		s.inTransaction = true
		s.epoch = s.member.currentEpoch()
	}
	if transaction && !s.engineTransaction {
		b := "BEGIN"
		if write {
			b = "BEGIN IMMEDIATE"
		}
		if _, err := s.engineConn.ExecContext(c, b); err != nil {
			return err
		}
		s.engineTransaction = true
	}
	return nil
}

// connectEngine opens a connection to the engine if there is none, or replaces it
// if the member's database has been replaced and no transaction is open.
func (s *session) connectEngine(c context.Context) error {
	s.member.mu.Lock()
	d := s.member.db
	s.member.mu.Unlock()
	if s.engineConn != nil && (s.engineDB == d || s.engineTransaction) {
		return nil
	}
	if s.engineConn != nil {
		_ = s.engineConn.Close()
		s.engineConn = nil
	}
	n, err := d.Conn(context.WithoutCancel(c))
	if err != nil {
		return err
	}
	s.engineConn, s.engineDB = n, d
	return nil
}

func (m *Member) currentEpoch() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.epoch
}

func (s *session) inCurrentEpoch() bool { return s.epoch == s.member.currentEpoch() }

// acquireWriteLock takes the member's write lock; it fails on a replica.
func (s *session) acquireWriteLock(c context.Context) error {
	s.member.mu.Lock()
	r := s.member.role
	s.member.mu.Unlock()
	if r != Primary {
		return &StatementError{Code: codeReadOnly, Message: "cannot execute statement in a read-only transaction: member is a replica"}
	}
	x, stop := context.WithTimeout(c, writeLockTimeout)
	defer stop()
	s.writeLockRequested.Store(true)
	select {
	case s.member.writeLock <- struct{}{}:
		s.holdsWriteLock = true
		return nil
	case <-x.Done():
		s.writeLockRequested.Store(false)
		return Error.Wrap(x.Err())
	}
}

func (s *session) beginTransaction(p *portal) error {
	p.result = &result{tag: "BEGIN"}
	s.inTransaction, s.explicitBegin = true, true
	s.epoch = s.member.currentEpoch()
	return nil
}

func (s *session) endTransaction(c context.Context, p *portal) error {
	w := strings.ToUpper(strings.Fields(p.sql)[0])
	if w == "ROLLBACK" || w == "ABORT" || s.transactionFailed {
		s.rollback()
		p.result = &result{tag: "ROLLBACK"}
		return nil
	}
	p.result = &result{tag: "COMMIT"}
	return s.commit(c)
}

// commit commits the open transaction, appends its writes to the log and sends
// their position.
func (s *session) commit(c context.Context) error {
	defer s.rollback()
	if !s.engineTransaction {
		return nil
	}
	if !s.holdsWriteLock {
		_, err := s.engineConn.ExecContext(context.WithoutCancel(c), "COMMIT")
		s.engineTransaction = err != nil
		return err
	}
	s.member.mu.Lock()
	defer s.member.mu.Unlock()
	if s.epoch != s.member.epoch || s.member.role != Primary {
		return &StatementError{Code: codeFenced, Message: "transaction rolled back: the member was fenced"}
	}
	if _, err := s.engineConn.ExecContext(context.WithoutCancel(c), "COMMIT"); err != nil {
		return err
	}
	s.engineTransaction = false
	if len(s.pendingWrites) > 0 {
		p := s.member.appendTransaction(s.pendingWrites)
		s.backend.Send(&pgproto3.ParameterStatus{Name: PositionParameter, Value: p.String()})
	}
	return nil
}

// PositionParameter is the PostgreSQL parameter that carries the log position of
// each committed write.
const PositionParameter = "member_position"

// rollback rolls the open transaction back, if any, and releases the write lock.
func (s *session) rollback() {
	for _, p := range s.portals {
		if p.result != nil {
			p.result.close()
		}
	}
	if s.engineTransaction {
		_, _ = s.engineConn.ExecContext(context.Background(), "ROLLBACK")
		s.engineTransaction = false
	}
	if s.holdsWriteLock {
		<-s.member.writeLock
		s.holdsWriteLock = false
		s.writeLockRequested.Store(false)
	}
	s.inTransaction, s.explicitBegin, s.transactionFailed, s.pendingWrites, s.idleTimeout = false, false, false, nil, 0
}

// failTransaction handles a failed statement: it rolls an implicit transaction
// back and marks an explicit one as failed.
func (s *session) failTransaction() {
	if !s.inExplicitTransaction() {
		s.rollback()
		return
	}
	for _, p := range s.portals {
		if p.result != nil {
			p.result.close()
		}
	}
	s.transactionFailed = true
}

// sendRows sends up to limit rows of the portal, all if limit is 0, and reports
// whether the portal is complete.
func (s *session) sendRows(c context.Context, p *portal, limit int) (bool, error) {
	r := p.result
	n := 0
	for limit == 0 || n < limit {
		v, err := r.nextRow()
		if err != nil {
			r.close()
			return false, err
		}
		if v == nil {
			return true, s.sendComplete(c, p)
		}
		s.backend.Send(dataRow(v, p))
		n++
		r.count++
		if n%rowsPerFlush == 0 {
			if err := s.flush(c); err != nil {
				r.close()
				return false, err
			}
		}
	}
	s.backend.Send(&pgproto3.PortalSuspended{})
	return false, nil
}

// rowsPerFlush is the number of rows after which the output is flushed.
const rowsPerFlush = 64

func (s *session) sendComplete(c context.Context, p *portal) error {
	r := p.result
	if r.write && r.fields == nil {
		if err := s.engineConn.QueryRowContext(c, "SELECT changes()").Scan(&r.count); err != nil {
			r.close()
			return err
		}
	}
	r.close()
	if r.tag == "" {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(r.commandTag())})
	return nil
}

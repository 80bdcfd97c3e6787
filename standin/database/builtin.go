package database

import (
	"context"
	"encoding/json"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/statement"
)

var functionCall = regexp.MustCompile(`(?is)^\s*select\s+(?:\*\s+from\s+)?(member_status|fence|promote|follow|log_after|log_holds|terminate_session|session_idle)\s*\(\s*(.*?)\s*\)\s*;?\s*$`)

// idleTimeoutSetting matches the statement that sets the idle timeout of the open
// transaction.
var idleTimeoutSetting = regexp.MustCompile(`(?is)^\s*set\s+local\s+idle_in_transaction_session_timeout\s*=\s*(\d+)\s*$`)

// setIdleTimeout sets the idle timeout of the open transaction if q is a statement
// that sets it, and reports whether q is one.
func (s *session) setIdleTimeout(q string) bool {
	f := idleTimeoutSetting.FindStringSubmatch(q)
	if f == nil {
		return false
	}
	n, err := strconv.Atoi(f[1])
	if err != nil {
		return false
	}
	s.idleTimeout = time.Duration(n) * time.Millisecond
	return true
}

// setReadDeadline applies the idle timeout to the next read inside a transaction;
// there is no limit outside.
func (s *session) setReadDeadline() {
	var t time.Time
	if s.inTransaction && s.idleTimeout > 0 {
		t = time.Now().Add(s.idleTimeout)
	}
	_ = s.netConn.SetReadDeadline(t)
}

// callFunction runs q if it calls one of the functions that every member of a
// database group provides, or sets the idle timeout; otherwise it returns nil.
func (s *session) callFunction(c context.Context, q string) (*result, error) {
	if s.setIdleTimeout(q) {
		return &result{tag: "SET"}, nil
	}
	f := functionCall.FindStringSubmatch(q)
	if f == nil {
		return nil, nil
	}
	a := splitArguments(f[2])
	switch strings.ToLower(f[1]) {
	case "member_status":
		return statusResult(s.member.Status()), nil
	case "log_after":
		return s.logAfter(c, a)
	case "log_holds":
		return s.logHolds(a)
	case "terminate_session":
		return s.terminateSession(c, a)
	case "session_idle":
		return s.sessionIdle(a)
	}
	if len(a) != 2 {
		return nil, &StatementError{Code: codeSyntax, Message: f[1] + " takes two arguments"}
	}
	t, err := strconv.ParseUint(a[0], 10, 64)
	if err != nil {
		return nil, &StatementError{Code: codeSyntax, Message: "term must be a number"}
	}
	switch strings.ToLower(f[1]) {
	case "fence":
		err = s.member.Fence(t, a[1])
	case "promote":
		err = s.member.Promote(t, a[1])
	default:
		err = s.member.Follow(t, a[1])
	}
	if err != nil {
		return nil, err
	}
	return statusResult(s.member.Status()), nil
}

// splitArguments splits an argument list such as "1, 'a'" into its values.
func splitArguments(s string) []string {
	var o []string
	for x := range strings.SplitSeq(s, ",") {
		x = strings.Trim(strings.TrimSpace(x), "'")
		if x != "" {
			o = append(o, x)
		}
	}
	return o
}

func statusResult(s Status) *result {
	return &result{
		tag: "SELECT",
		fields: []pgproto3.FieldDescription{
			fieldDescription("role", oidText), fieldDescription("term", oidInt8), fieldDescription("position", oidText), fieldDescription("primary_address", oidText), fieldDescription("contact_ms", oidInt8),
		},
		fixedRows: [][]any{{string(s.Role), int64(s.Term), s.Position.String(), s.Primary, s.ContactAge.Milliseconds()}},
	}
}

func (s *session) logHolds(a []string) (*result, error) {
	if len(a) != 1 {
		return nil, &StatementError{Code: codeSyntax, Message: "log_holds takes a position"}
	}
	p, err := logpos.Parse(a[0])
	if err != nil {
		return nil, &StatementError{Code: codeSyntax, Message: err.Error()}
	}
	h, t := s.member.hasEntry(p)
	r := statusResult(t)
	r.fields = append(r.fields, fieldDescription("holds", oidText))
	r.fixedRows[0] = append(r.fixedRows[0], strconv.FormatBool(h))
	return r, nil
}

func (s *session) terminateSession(c context.Context, a []string) (*result, error) {
	if len(a) != 2 {
		return nil, &StatementError{Code: codeSyntax, Message: "terminate_session takes a pid and milliseconds"}
	}
	p, err := strconv.ParseUint(a[0], 10, 32)
	if err != nil {
		return nil, &StatementError{Code: codeSyntax, Message: "pid must be a number"}
	}
	t, err := strconv.ParseUint(a[1], 10, 31)
	if err != nil {
		return nil, &StatementError{Code: codeSyntax, Message: "time must be a number of milliseconds"}
	}
	x, stop := context.WithTimeout(c, time.Duration(t)*time.Millisecond)
	defer stop()
	return &result{
		tag: "SELECT", fields: []pgproto3.FieldDescription{fieldDescription("ended", oidText)},
		fixedRows: [][]any{{strconv.FormatBool(s.member.terminateSession(x, uint32(p)))}},
	}, nil
}

func (s *session) sessionIdle(a []string) (*result, error) {
	if len(a) != 1 {
		return nil, &StatementError{Code: codeSyntax, Message: "session_idle takes a pid"}
	}
	p, err := strconv.ParseUint(a[0], 10, 32)
	if err != nil {
		return nil, &StatementError{Code: codeSyntax, Message: "pid must be a number"}
	}
	return &result{
		tag: "SELECT", fields: []pgproto3.FieldDescription{fieldDescription("idle", oidText)},
		fixedRows: [][]any{{strconv.FormatBool(s.member.sessionIdle(uint32(p)))}},
	}, nil
}

func (s *session) logAfter(c context.Context, a []string) (*result, error) {
	if len(a) != 2 {
		return nil, &StatementError{Code: codeSyntax, Message: "log_after takes a position and a term"}
	}
	p, err := logpos.Parse(a[0])
	if err != nil {
		return nil, &StatementError{Code: codeSyntax, Message: err.Error()}
	}
	t, err := strconv.ParseUint(a[1], 10, 64)
	if err != nil {
		return nil, &StatementError{Code: codeSyntax, Message: "term must be a number"}
	}
	b, err := s.member.logAfter(c, p, t)
	if err != nil {
		return nil, err
	}
	j, err := json.Marshal(b)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &result{
		tag: "SELECT", fields: []pgproto3.FieldDescription{fieldDescription("entries", oidText)},
		fixedRows: [][]any{{string(j)}},
	}, nil
}

// describe sends the parameters and columns of a prepared statement, or the
// columns of a portal.
func (s *session) describe(c context.Context, x *pgproto3.Describe) error {
	var q string
	if x.ObjectType == 'S' {
		v, ok := s.prepared[x.Name]
		if !ok {
			return &StatementError{Code: "26000", Message: "prepared statement does not exist"}
		}
		q = v
		s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: make([]uint32, statement.MaxParameter(q))})
	} else {
		p, ok := s.portals[x.Name]
		if !ok {
			return &StatementError{Code: "34000", Message: "portal does not exist"}
		}
		q = p.sql
	}
	f, err := s.resultFields(c, q)
	if err != nil {
		return err
	}
	if f == nil {
		s.backend.Send(&pgproto3.NoData{})
		return nil
	}
	s.backend.Send(&pgproto3.RowDescription{Fields: f})
	return nil
}

func (s *session) resultFields(c context.Context, q string) ([]pgproto3.FieldDescription, error) {
	if f := functionCall.FindStringSubmatch(q); f != nil {
		switch strings.ToLower(f[1]) {
		case "log_after":
			return []pgproto3.FieldDescription{fieldDescription("entries", oidText)}, nil
		case "log_holds":
			return append(statusResult(Status{}).fields, fieldDescription("holds", oidText)), nil
		case "terminate_session":
			return []pgproto3.FieldDescription{fieldDescription("ended", oidText)}, nil
		case "session_idle":
			return []pgproto3.FieldDescription{fieldDescription("idle", oidText)}, nil
		}
		return statusResult(Status{}).fields, nil
	}
	d := describeQuery(q)
	if d == "" {
		return nil, nil
	}
	if err := s.prepareEngine(c, s.inTransaction, false); err != nil {
		return nil, err
	}
	r, err := s.engineConn.QueryContext(c, d, make([]any, statement.MaxParameter(q))...)
	if err != nil {
		return nil, err
	}
	defer func() { _ = r.Close() }()
	return columnFields(r)
}

// executePortal handles an Execute message: it starts the portal's statement, unless
// it was suspended, and sends rows.
func (s *session) executePortal(c context.Context, x *pgproto3.Execute) error {
	p, ok := s.portals[x.Portal]
	if !ok {
		return &StatementError{Code: "34000", Message: "portal does not exist"}
	}
	if p.result == nil {
		if err := s.startPortal(c, p, false); err != nil {
			return err
		}
	}
	_, err := s.sendRows(c, p, int(x.MaxRows))
	return err
}

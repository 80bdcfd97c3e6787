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

var call = regexp.MustCompile(`(?is)^\s*select\s+(?:\*\s+from\s+)?(member_status|fence|promote|follow|log_after|log_holds|terminate_session|session_idle)\s*\(\s*(.*?)\s*\)\s*;?\s*$`)

// idleTimeout sets how long the open transaction may wait for a message.
var idleTimeout = regexp.MustCompile(`(?is)^\s*set\s+local\s+idle_in_transaction_session_timeout\s*=\s*(\d+)\s*$`)

// setIdle sets the limit of the open transaction, if q does so.
func (s *session) setIdle(q string) bool {
	f := idleTimeout.FindStringSubmatch(q)
	if f == nil {
		return false
	}
	n, err := strconv.Atoi(f[1])
	if err != nil {
		return false
	}
	s.idle = time.Duration(n) * time.Millisecond
	return true
}

// awaitMessage bounds the wait for the next message inside a transaction.
func (s *session) awaitMessage() {
	var t time.Time
	if s.open && s.idle > 0 {
		t = time.Now().Add(s.idle)
	}
	_ = s.n.SetReadDeadline(t)
}

// builtin runs one of the functions that every member of a database group
// has; it returns nil if q calls none.
func (s *session) builtin(c context.Context, q string) (*running, error) {
	if s.setIdle(q) {
		return &running{tag: "SET"}, nil
	}
	f := call.FindStringSubmatch(q)
	if f == nil {
		return nil, nil
	}
	a := arguments(f[2])
	switch strings.ToLower(f[1]) {
	case "member_status":
		return statusRow(s.m.Status()), nil
	case "log_after":
		return s.logAfterRow(c, a)
	case "log_holds":
		return s.logHoldsRow(a)
	case "terminate_session":
		return s.terminateRow(c, a)
	case "session_idle":
		return s.idleRow(a)
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
		err = s.m.Fence(t, a[1])
	case "promote":
		err = s.m.Promote(t, a[1])
	default:
		err = s.m.Follow(t, a[1])
	}
	if err != nil {
		return nil, err
	}
	return statusRow(s.m.Status()), nil
}

// arguments splits "1, 'a'" into its values.
func arguments(s string) []string {
	var o []string
	for x := range strings.SplitSeq(s, ",") {
		x = strings.Trim(strings.TrimSpace(x), "'")
		if x != "" {
			o = append(o, x)
		}
	}
	return o
}

func statusRow(s Status) *running {
	return &running{
		tag: "SELECT",
		fields: []pgproto3.FieldDescription{
			field("role", oidText), field("term", oidInt8), field("position", oidText), field("primary_address", oidText), field("contact_ms", oidInt8),
		},
		fixed: [][]any{{string(s.Role), int64(s.Term), s.Position.String(), s.Primary, s.ContactAge.Milliseconds()}},
	}
}

func (s *session) logHoldsRow(a []string) (*running, error) {
	if len(a) != 1 {
		return nil, &StatementError{Code: codeSyntax, Message: "log_holds takes a position"}
	}
	p, err := logpos.Parse(a[0])
	if err != nil {
		return nil, &StatementError{Code: codeSyntax, Message: err.Error()}
	}
	h, t := s.m.holds(p)
	r := statusRow(t)
	r.fields = append(r.fields, field("holds", oidText))
	r.fixed[0] = append(r.fixed[0], strconv.FormatBool(h))
	return r, nil
}

func (s *session) terminateRow(c context.Context, a []string) (*running, error) {
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
	return &running{
		tag: "SELECT", fields: []pgproto3.FieldDescription{field("ended", oidText)},
		fixed: [][]any{{strconv.FormatBool(s.m.terminate(x, uint32(p)))}},
	}, nil
}

func (s *session) idleRow(a []string) (*running, error) {
	if len(a) != 1 {
		return nil, &StatementError{Code: codeSyntax, Message: "session_idle takes a pid"}
	}
	p, err := strconv.ParseUint(a[0], 10, 32)
	if err != nil {
		return nil, &StatementError{Code: codeSyntax, Message: "pid must be a number"}
	}
	return &running{
		tag: "SELECT", fields: []pgproto3.FieldDescription{field("idle", oidText)},
		fixed: [][]any{{strconv.FormatBool(s.m.idle(uint32(p)))}},
	}, nil
}

func (s *session) logAfterRow(c context.Context, a []string) (*running, error) {
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
	b, err := s.m.logAfter(c, p, t)
	if err != nil {
		return nil, err
	}
	j, err := json.Marshal(b)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &running{
		tag: "SELECT", fields: []pgproto3.FieldDescription{field("entries", oidText)},
		fixed: [][]any{{string(j)}},
	}, nil
}

// describe answers for a statement or a portal.
func (s *session) describe(c context.Context, x *pgproto3.Describe) error {
	var q string
	if x.ObjectType == 'S' {
		v, ok := s.parsed[x.Name]
		if !ok {
			return &StatementError{Code: "26000", Message: "prepared statement does not exist"}
		}
		q = v
		s.b.Send(&pgproto3.ParameterDescription{ParameterOIDs: make([]uint32, statement.MaxParameter(q))})
	} else {
		p, ok := s.portals[x.Name]
		if !ok {
			return &StatementError{Code: "34000", Message: "portal does not exist"}
		}
		q = p.sql
	}
	f, err := s.fields(c, q)
	if err != nil {
		return err
	}
	if f == nil {
		s.b.Send(&pgproto3.NoData{})
		return nil
	}
	s.b.Send(&pgproto3.RowDescription{Fields: f})
	return nil
}

func (s *session) fields(c context.Context, q string) ([]pgproto3.FieldDescription, error) {
	if f := call.FindStringSubmatch(q); f != nil {
		switch strings.ToLower(f[1]) {
		case "log_after":
			return []pgproto3.FieldDescription{field("entries", oidText)}, nil
		case "log_holds":
			return append(statusRow(Status{}).fields, field("holds", oidText)), nil
		case "terminate_session":
			return []pgproto3.FieldDescription{field("ended", oidText)}, nil
		case "session_idle":
			return []pgproto3.FieldDescription{field("idle", oidText)}, nil
		}
		return statusRow(Status{}).fields, nil
	}
	d := describeQuery(q)
	if d == "" {
		return nil, nil
	}
	if err := s.prepare(c, s.open, false); err != nil {
		return nil, err
	}
	r, err := s.conn.QueryContext(c, d, make([]any, statement.MaxParameter(q))...)
	if err != nil {
		return nil, err
	}
	defer func() { _ = r.Close() }()
	return fieldsOf(r)
}

func (s *session) execute(c context.Context, x *pgproto3.Execute) error {
	p, ok := s.portals[x.Portal]
	if !ok {
		return &StatementError{Code: "34000", Message: "portal does not exist"}
	}
	if p.run == nil {
		if err := s.start(c, p, false); err != nil {
			return err
		}
	}
	_, err := s.step(c, p, int(x.MaxRows))
	return err
}

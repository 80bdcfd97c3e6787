package database

import (
	"context"
	"errors"
	"strings"

	"modernc.org/sqlite"
)

// toStatementError converts an error to a StatementError with its SQLSTATE.
func toStatementError(err error) *StatementError {
	var e *StatementError
	if errors.As(err, &e) {
		return e
	}
	var t *TermError
	if errors.As(err, &t) {
		return &StatementError{Code: codeObjectState, Message: t.Error()}
	}
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return &StatementError{Code: codeCanceled, Message: "canceling statement due to user request"}
	}
	var q *sqlite.Error
	if errors.As(err, &q) {
		return &StatementError{Code: sqlstateOf(q), Message: q.Error()}
	}
	return &StatementError{Code: codeInternal, Message: err.Error()}
}

// SQLite result codes.
const (
	sqliteError                = 1
	sqliteBusy                 = 5
	sqliteInterrupt            = 9
	sqliteConstraint           = 19
	sqliteConstraintPrimaryKey = 1555
	sqliteConstraintUnique     = 2067
)

func sqlstateOf(q *sqlite.Error) string {
	switch q.Code() {
	case sqliteConstraintPrimaryKey, sqliteConstraintUnique:
		return codeUnique
	case sqliteInterrupt:
		return codeCanceled
	}
	switch q.Code() & 0xff {
	case sqliteBusy:
		return codeSerialization
	case sqliteConstraint:
		return codeConstraint
	case sqliteError:
		if strings.Contains(q.Error(), "no such table") {
			return codeUndefinedTable
		}
		return codeSyntax
	}
	return codeInternal
}

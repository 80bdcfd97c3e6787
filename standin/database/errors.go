package database

import "strconv"

// TermError reports a request whose term the member doesn't accept.
type TermError struct {
	// Requested is the term of the request.
	Requested uint64
	// Current is the member's term.
	Current uint64
	// Holder is the lease holder that fenced the member at its term.
	Holder string
}

func (e *TermError) Error() string {
	return "term " + strconv.FormatUint(e.Requested, 10) + " refused: member is at term " + strconv.FormatUint(e.Current, 10) + " of " + strconv.Quote(e.Holder)
}

// StatementError is the error of a statement with its SQLSTATE.
type StatementError struct {
	Code    string
	Message string
}

func (e *StatementError) Error() string { return e.Message }

// SQLSTATEs that the stand-in sends.
const (
	codeReadOnly           = "25006"
	codeNoTransaction      = "25P01"
	codeFailedTransaction  = "25P02"
	codeFenced             = "57P01"
	codeSyntax             = "42601"
	codeTooManyConnections = "53300"
	codeInvalidPassword    = "28P01"
	codeCanceled           = "57014"
	codeInternal           = "XX000"
	codeUnique             = "23505"
	codeConstraint         = "23000"
	codeUndefinedTable     = "42P01"
	codeProtocol           = "08P01"
	codeSerialization      = "40001"
	codeObjectState        = "55000"
)

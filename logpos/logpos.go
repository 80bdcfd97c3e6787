// Package logpos defines positions in the replicated log of a database group.
package logpos

import (
	"strconv"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of all failures of this package.
var Error = errs.Class("logpos")

// Position is a position in the log of one database group. Positions of a group
// are ordered by term, and within a term by offset.
type Position struct {
	// Term is the term of the primary that wrote the entry; zero means that
	// nothing has been written.
	Term uint64 `json:"term"`
	// Offset counts log entries and never decreases within a term.
	Offset uint64 `json:"offset"`
}

// Less reports whether p comes before q in the log.
func (p Position) Less(q Position) bool {
	if p.Term != q.Term {
		return p.Term < q.Term
	}
	return p.Offset < q.Offset
}

// IsZero reports whether p is the position before the first entry.
func (p Position) IsZero() bool { return p == Position{} }

// Max returns the later of p and q.
func Max(p, q Position) Position {
	if p.Less(q) {
		return q
	}
	return p
}

// String formats p as "term/offset", the form that Parse reads.
func (p Position) String() string {
	return strconv.FormatUint(p.Term, 10) + "/" + strconv.FormatUint(p.Offset, 10)
}

// Parse reads a position in the form "term/offset".
func Parse(s string) (Position, error) {
	a, b, ok := strings.Cut(s, "/")
	if !ok {
		return Position{}, Error.Wrap(&SyntaxError{Text: s})
	}
	t, err := strconv.ParseUint(a, 10, 64)
	if err != nil {
		return Position{}, Error.Wrap(&SyntaxError{Text: s})
	}
	o, err := strconv.ParseUint(b, 10, 64)
	if err != nil {
		return Position{}, Error.Wrap(&SyntaxError{Text: s})
	}
	return Position{Term: t, Offset: o}, nil
}

// SyntaxError reports a text that is not a valid position.
type SyntaxError struct {
	Text string
}

func (e *SyntaxError) Error() string { return "not a log position: " + strconv.Quote(e.Text) }

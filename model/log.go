package model

import "github.com/dragonflypick/dragonflypick/logpos"

// Statement identifies a write.
type Statement struct {
	// ID is unique among the requests of all callers.
	ID string
	// Key is the idempotency key; empty if the request has none.
	Key string
}

// LogEntry is a committed transaction in a member's log.
type LogEntry struct {
	Position logpos.Position
	// Statement is empty in the first entry of a term.
	Statement Statement
}

// Log holds the committed transactions of a member, oldest first. Offsets count
// from 1.
type Log []LogEntry

// Last returns the position of the last entry, or the zero position if there is
// none.
func (l Log) Last() logpos.Position {
	if len(l) == 0 {
		return logpos.Position{}
	}
	return l[len(l)-1].Position
}

// Has reports whether the log holds an entry at p.
func (l Log) Has(p logpos.Position) bool {
	return p.Offset > 0 && p.Offset <= uint64(len(l)) && l[p.Offset-1].Position == p
}

// CountID returns the number of entries of the statement with the given ID.
func (l Log) CountID(id string) int {
	n := 0
	for _, e := range l {
		if e.Statement.ID == id {
			n++
		}
	}
	return n
}

// CountKey returns the number of entries of statements with the given key.
func (l Log) CountKey(key string) int {
	n := 0
	for _, e := range l {
		if e.Statement.Key == key {
			n++
		}
	}
	return n
}

// HasRun reports whether the log has a statement, identified by its key if it
// has one, otherwise by its ID. It is true for the empty statement.
func (l Log) HasRun(s Statement) bool {
	switch {
	case s == Statement{}:
		return true
	case s.Key != "":
		return l.CountKey(s.Key) > 0
	default:
		return l.CountID(s.ID) > 0
	}
}

package model

import "github.com/dragonflypick/dragonflypick/logpos"

// Statement is a write with its identity.
type Statement struct {
	// ID is unique among the requests of all callers.
	ID string
	// Key is the idempotency key; empty if the request has none.
	Key string
}

// Entry is a committed transaction in a member's log.
type Entry struct {
	Position logpos.Position
	// Statement is empty in the first entry of a term.
	Statement Statement
}

// Log is what a member has committed, oldest first. Offsets count from 1.
type Log []Entry

// Last returns the position of the last entry.
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

// CountID returns how often a statement with the ID has run.
func (l Log) CountID(id string) int {
	n := 0
	for _, e := range l {
		if e.Statement.ID == id {
			n++
		}
	}
	return n
}

// CountKey returns how often statements with the key have run.
func (l Log) CountKey(key string) int {
	n := 0
	for _, e := range l {
		if e.Statement.Key == key {
			n++
		}
	}
	return n
}

// Shows reports whether a statement has run, by its key if it has one.
func (l Log) Shows(s Statement) bool {
	switch {
	case s == Statement{}:
		return true
	case s.Key != "":
		return l.CountKey(s.Key) > 0
	default:
		return l.CountID(s.ID) > 0
	}
}

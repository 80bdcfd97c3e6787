package entry

import (
	"context"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/query"
)

// Stage is where a caller was denied.
type Stage string

// Possible values of Stage.
const (
	// StageStart is the start of a session.
	StageStart Stage = "start"
	// StageOperation is the start of an operation of an open session.
	StageOperation Stage = "operation"
	// StageTransaction is a statement of an open transaction.
	StageTransaction Stage = "transaction"
)

func (e *Entry) countDenied(g Stage) {
	if e.config.Denied != nil {
		e.config.Denied(g)
	}
}

// team returns the team that holds the caller's key by the configuration in force.
// It has no name if the configuration names no teams, or if the key is unknown and
// the database is anonymous.
func (s *Session) team(d catalog.Database) (catalog.Team, *query.Failure) {
	c := s.entry.config.Catalog()
	if c == nil {
		return catalog.Team{}, &query.Failure{Reason: query.Overloaded, Text: "no configuration yet"}
	}
	if len(c.Teams) == 0 {
		return catalog.Team{}, nil
	}
	t, ok := c.TeamOf(s.key)
	if !ok && c.RequiresTeam(d) {
		return t, &query.Failure{Reason: query.Denied, Text: "the key belongs to no team"}
	}
	return t, nil
}

// updateTeam sets the team for which a statement runs. If the key was withdrawn or
// belongs to another team than when the open transaction began, it rolls the
// transaction back and returns the failure of the statement. Every caller may roll back.
func (s *Session) updateTeam(x context.Context, st query.Statement) *query.Failure {
	if _, ok := st.(query.Rollback); ok {
		return nil
	}
	d, open := s.tx.database, s.state == query.Open
	if !open {
		var f *query.Failure
		if d, f = s.entry.lookUpDatabase(s.database); f != nil {
			// Statements that need the database fail; the others reach no member.
			return nil
		}
	}
	t, f := s.team(d)
	g := StageOperation
	if open {
		g = StageTransaction
		if f == nil && t.Name != s.current.Name {
			f = &query.Failure{Reason: query.Aborted, Text: "the key belongs to another team now"}
		}
	}
	if f == nil {
		s.current = t
		return nil
	}
	if f.Reason == query.Denied {
		s.entry.countDenied(g)
	}
	if open {
		s.rollBack(x)
		if _, ok := st.(query.Commit); !ok {
			s.state = query.Failed
		}
	}
	return f
}

// Package entry manages the sessions of callers on the users' platform: their
// session values, prepared statements, open transaction and log position. It turns
// their statements into requests for a Router. Package platform reads the
// statements from connections.
package entry

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/query"
)

// Pin identifies where an open transaction runs.
type Pin struct {
	Host   string
	Member string
	// Transaction identifies it there; it is unique for each attempt to begin one.
	Transaction string
}

// Router routes requests to members.
type Router interface {
	// Execute runs a request. pin is where its transaction runs, or nil if it
	// isn't open at a member.
	Execute(x context.Context, r *query.Request, pin *Pin) query.Response
}

// Config holds an entry's settings.
type Config struct {
	// SessionPrefix is the prefix of session IDs, which makes them unique among
	// daemons.
	SessionPrefix string
	// Catalog returns the current configuration, or nil before the first one.
	Catalog func() *catalog.Catalog
	Router  Router
	// Limiter bounds the operations of teams; nil bounds none.
	Limiter Limiter
	// Denied is called for each denial, if it isn't nil.
	Denied func(Stage)
}

// Limiter bounds the rate of a team's operations.
type Limiter interface {
	// Admit returns nil if an operation of a team on a database may start, perhaps after
	// some time, or else why not. r is the operation's only or first statement; the
	// returned function is to be called with the response to it.
	Admit(x context.Context, r *query.Request, d catalog.Database) (func(*query.Response), *query.Failure)
}

// Entry opens sessions. It is safe for concurrent use.
type Entry struct {
	config       Config
	sessionCount atomic.Uint64
}

// New returns an entry.
func New(c Config) *Entry { return &Entry{config: c} }

// rollBackTimeout bounds the rollback of a transaction when its session is closed
// or the caller requests it.
const rollBackTimeout = 2 * time.Second

// Session is one caller's session. It is not safe for concurrent use.
type Session struct {
	entry    *Entry
	id       string
	database string
	// key is the digest of the caller's key. current is the team for which the last
	// statement ran.
	key     catalog.KeyDigest
	current catalog.Team
	// values are in the order in which their names were first set.
	values   []query.Value
	prepared map[string]query.Template
	// kept is the size of values and prepared; see maxKeptBytes.
	kept int
	// floor is the highest log position of the session's committed writes.
	floor logpos.Position
	state query.State
	tx    transaction
}

// transaction is the state of a session's open transaction.
type transaction struct {
	// beginID is the ID of the statement that opened it.
	beginID  string
	readOnly bool
	wrote    bool
	// pin is nil until the first statement has run.
	pin *Pin
	// database is the database's configuration when the transaction was opened.
	database catalog.Database
}

// Timing of a session that starts before this daemon has a configuration.
const (
	// catalogWait is how long the session waits for the configuration, which a daemon
	// that has just started has after a few round trips to the store.
	catalogWait         = 500 * time.Millisecond
	catalogPollInterval = 10 * time.Millisecond
)

// awaitCatalog waits for the first configuration.
func (e *Entry) awaitCatalog(x context.Context) {
	if e.config.Catalog() != nil {
		return
	}
	x, stop := context.WithTimeout(x, catalogWait)
	defer stop()
	t := time.NewTicker(catalogPollInterval)
	defer t.Stop()
	for e.config.Catalog() == nil {
		select {
		case <-t.C:
		case <-x.Done():
			return
		}
	}
}

// Open starts a session of a caller who has the key with the given digest.
func (e *Entry) Open(x context.Context, database string, key catalog.KeyDigest) (*Session, *query.Failure) {
	e.awaitCatalog(x)
	d, f := e.lookUpDatabase(database)
	if f != nil {
		return nil, f
	}
	s := &Session{entry: e, database: database, key: key, prepared: map[string]query.Template{}, state: query.Idle}
	if s.current, f = s.team(d); f != nil {
		e.countDenied(StageStart)
		return nil, f
	}
	s.id = e.config.SessionPrefix + "/" + strconv.FormatUint(e.sessionCount.Add(1), 36)
	return s, nil
}

func (e *Entry) lookUpDatabase(name string) (catalog.Database, *query.Failure) {
	c := e.config.Catalog()
	if c == nil {
		return catalog.Database{}, &query.Failure{Reason: query.Overloaded, Text: "no configuration yet"}
	}
	d, ok := c.Databases[name]
	if !ok {
		return d, &query.Failure{Reason: query.NoDatabase, Text: "version " + strconv.FormatUint(c.Version, 10) + " has no such database"}
	}
	return d, nil
}

// ID returns the session's ID, which is unique among all daemons.
func (s *Session) ID() string { return s.id }

// State returns the session's state.
func (s *Session) State() query.State { return s.state }

// IdleLimit returns how long an open transaction may be idle, or zero if there is
// no configuration.
func (s *Session) IdleLimit() time.Duration {
	if c := s.entry.config.Catalog(); c != nil {
		return c.IdleInTransaction
	}
	return 0
}

// Close rolls back an open transaction.
func (s *Session) Close() {
	x, stop := context.WithTimeout(context.Background(), rollBackTimeout)
	defer stop()
	s.rollBack(x)
}

// Handle runs a statement. id is the caller's identifier of it.
func (s *Session) Handle(x context.Context, id string, st query.Statement) query.Reply {
	o := s.handle(x, id, st)
	o.State = s.state
	return o
}

func (s *Session) handle(x context.Context, id string, st query.Statement) query.Reply {
	if s.state == query.Failed {
		return s.handleFailed(st)
	}
	if f := s.updateTeam(x, st); f != nil {
		return query.Reply{Failure: f}
	}
	switch t := st.(type) {
	case query.Begin:
		return s.beginTx(id, t)
	case query.Commit:
		if s.state != query.Open {
			return query.Refusal(query.Malformed, "no transaction is open")
		}
		return s.runRequest(x, &query.Request{ID: id, Action: query.ActionCommit})
	case query.Rollback:
		if s.state != query.Open {
			return query.Refusal(query.Malformed, "no transaction is open")
		}
		s.rollBack(x)
		return query.Reply{}
	case query.Set:
		return query.Reply{Failure: s.setValue(t.Value)}
	case query.Prepare:
		return query.Reply{Failure: s.prepare(t)}
	case query.Deallocate:
		return query.Reply{Failure: s.deallocate(t)}
	case query.Read:
		return s.runRequest(x, &query.Request{ID: id, Text: t.Text})
	case query.Write:
		return s.runRequest(x, &query.Request{ID: id, Text: t.Text, Action: query.ActionWrite})
	case query.Execute:
		return s.executePrepared(x, id, t)
	default:
		return query.Refusal(query.Malformed, "the statement is not known")
	}
}

// handleFailed handles a statement of a transaction that has failed.
func (s *Session) handleFailed(st query.Statement) query.Reply {
	switch st.(type) {
	case query.Rollback:
		s.endTx()
		return query.Reply{}
	case query.Commit:
		s.endTx()
		return query.Refusal(query.Aborted, "the transaction had failed and was rolled back")
	default:
		return query.Refusal(query.Malformed, "the transaction has failed; roll it back")
	}
}

func (s *Session) beginTx(id string, b query.Begin) query.Reply {
	if s.state != query.Idle {
		return query.Refusal(query.Malformed, "a transaction is open")
	}
	d, f := s.entry.lookUpDatabase(s.database)
	if f != nil {
		return query.Reply{Failure: f}
	}
	s.state = query.Open
	s.tx = transaction{beginID: id, readOnly: b.ReadOnly, database: d}
	return query.Reply{}
}

func (s *Session) executePrepared(x context.Context, id string, t query.Execute) query.Reply {
	h, ok := s.prepared[t.Name]
	if !ok {
		return query.Refusal(query.UnknownName, t.Name)
	}
	r := &query.Request{ID: id, Text: t.Arguments, Template: &h}
	if h.Write {
		r.Action = query.ActionWrite
	}
	return s.runRequest(x, r)
}

// runRequest runs a request and updates the session with the outcome.
func (s *Session) runRequest(x context.Context, r *query.Request) query.Reply {
	d, f := s.setSessionFields(r)
	if f != nil {
		return query.Reply{Failure: f}
	}
	o := s.execute(x, r, d)
	if d.Consistency != catalog.PrimaryReads && o.Failure == nil {
		s.raiseFloor(r, o.Position)
	}
	if r.Stage == query.Single {
		return o.Reply
	}
	s.updateTx(r, &o)
	return o.Reply
}

// execute runs a request, if it isn't the start of an operation that the limiter
// refuses.
func (s *Session) execute(x context.Context, r *query.Request, d catalog.Database) query.Response {
	l := s.entry.config.Limiter
	if l == nil || r.Stage != query.Single && r.Stage != query.First {
		return s.entry.config.Router.Execute(x, r, s.tx.pin)
	}
	t := time.Now()
	settle, f := l.Admit(x, r, d)
	if f != nil {
		return query.Response{Reply: query.Reply{Failure: f}}
	}
	r.Remaining -= time.Since(t)
	o := s.entry.config.Router.Execute(x, r, s.tx.pin)
	settle(&o)
	return o
}

// raiseFloor raises the floor to p if the request committed a write. It also
// records that an open transaction has written.
func (s *Session) raiseFloor(r *query.Request, p logpos.Position) {
	single := r.Stage == query.Single && r.Action == query.ActionWrite
	commit := r.Action == query.ActionCommit && s.tx.wrote
	if single || commit {
		s.floor = logpos.Max(s.floor, p)
	}
	if r.Action == query.ActionWrite {
		s.tx.wrote = true
	}
}

// setSessionFields sets the fields of a request that depend on the session, and
// returns the database's configuration.
func (s *Session) setSessionFields(r *query.Request) (catalog.Database, *query.Failure) {
	d := s.tx.database
	if s.state == query.Idle {
		var f *query.Failure
		if d, f = s.entry.lookUpDatabase(s.database); f != nil {
			return d, f
		}
	}
	r.Team, r.Session, r.Values, r.Floor = s.current.Name, s.id, s.values, s.floor
	SetDatabaseFields(r, d)
	if s.state == query.Open {
		r.Stage, r.BeginID, r.ReadOnly = query.Later, s.tx.beginID, s.tx.readOnly
		r.Primary = !s.tx.readOnly || d.Consistency == catalog.PrimaryReads
		if s.tx.pin == nil {
			r.Stage = query.First
		}
	}
	return d, nil
}

// SetDatabaseFields sets the fields of a request outside of transactions that depend on
// its database.
func SetDatabaseFields(r *query.Request, d catalog.Database) {
	r.Group, r.Rank, r.Remaining, r.MaxAge = d.Group, d.Rank, d.StatementTimeout, d.MaxAge
	r.Primary = d.Consistency == catalog.PrimaryReads || r.Action == query.ActionWrite
	if d.Consistency == catalog.BoundedStaleness {
		r.Floor = logpos.Position{}
	}
}

// updateTx updates the open transaction with the outcome of a statement.
func (s *Session) updateTx(r *query.Request, o *query.Response) {
	if r.Action == query.ActionCommit {
		s.endTx()
		return
	}
	switch {
	case o.State == query.Open:
		s.tx.pin = &Pin{Host: o.Owner, Member: o.Member, Transaction: o.Transaction}
	default:
		s.state, s.tx.pin = query.Failed, nil
		if o.Failure == nil {
			o.Failure = &query.Failure{Reason: query.Aborted, Text: "the transaction was ended by the member"}
		}
	}
}

// rollBack rolls back an open transaction, also at the member where it is open.
func (s *Session) rollBack(x context.Context) {
	if p := s.tx.pin; p != nil {
		s.entry.config.Router.Execute(x, &query.Request{
			Group: s.tx.database.Group, Session: s.id, Stage: query.Abandon, Rank: bundle.Urgent, Remaining: rollBackTimeout,
		}, p)
	}
	s.endTx()
}

func (s *Session) endTx() {
	s.state, s.tx = query.Idle, transaction{}
}

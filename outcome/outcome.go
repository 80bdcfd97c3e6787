// Package outcome decides what a caller is told of a transaction that may have
// written: done, not run, or in doubt. It does no I/O and reads no clock.
//
// A transaction is done only when its log position is on a majority of the
// group's members within its term. When the term ends first, the matter is
// settled from the log of the next primary once a majority holds an entry of
// the new term: from then on every later primary has that log, so a position
// that it lacks is gone for good.
package outcome

import "github.com/dragonflypick/dragonflypick/logpos"

// Event is something that happened to the transaction.
type Event interface{ event() }

// Forwarded tells that a statement was sent to the backend server.
type Forwarded struct {
	// MayCommit tells that the statement may commit.
	MayCommit bool
}

// Committed tells that the backend server reported the position of a commit.
type Committed struct{ Position logpos.Position }

// Answered tells that the backend server's answer is whole.
type Answered struct{}

// Disconnected tells that the connection to the backend server broke.
type Disconnected struct{}

// Durable tells that a majority holds the position within its term.
type Durable struct{}

// TermSuperseded tells that a later term has begun.
type TermSuperseded struct{}

// PositionResolved tells whether the log of the next term, an entry of which is on a
// majority, holds the position.
type PositionResolved struct{ Present bool }

// KeyResolved tells the outcome that the transaction's idempotency key has in the
// database, where a later attempt can't succeed any more.
type KeyResolved struct {
	// Present tells that the key is present, at Position or before.
	Present  bool
	Position logpos.Position
}

// Expired tells that the caller's deadline has passed.
type Expired struct{}

func (Forwarded) event()        {}
func (Committed) event()        {}
func (Answered) event()         {}
func (Disconnected) event()     {}
func (Durable) event()          {}
func (TermSuperseded) event()   {}
func (PositionResolved) event() {}
func (KeyResolved) event()      {}
func (Expired) event()          {}

// Action is something that the transaction wants done.
type Action interface{ action() }

// AwaitMajority asks for Durable, Superseded or Expired for the position.
type AwaitMajority struct{ Position logpos.Position }

// ResolvePosition asks for Settled for the position.
type ResolvePosition struct{ Position logpos.Position }

// ResolveKey asks for Found for the transaction's idempotency key.
type ResolveKey struct{}

// Done says that the answer may go to the caller. With a position, or after a
// statement that may commit, it ends the transaction; after another statement
// the transaction goes on.
type Done struct{ Position logpos.Position }

// NotRun ends the transaction: it has no effect and never will.
type NotRun struct{ Reason Reason }

// InDoubt ends the transaction: it may or may not have an effect.
type InDoubt struct{ Reason Reason }

func (AwaitMajority) action()   {}
func (ResolvePosition) action() {}
func (ResolveKey) action()      {}
func (Done) action()            {}
func (NotRun) action()          {}
func (InDoubt) action()         {}

// Reason is a short word for logs, metrics and callers.
type Reason string

// The reasons of ends.
const (
	ConnectionLost  Reason = "connection-lost"
	MajorityTimeout Reason = "majority-timeout"
	TermEnded       Reason = "term-ended"
	LostWithTerm    Reason = "lost-with-term"
	KeyAbsent       Reason = "key-absent"
)

// phase is how far the transaction has come.
type phase int

const (
	open phase = iota
	awaiting
	resolvingPosition
	resolvingKey
	over
)

// Transaction is the state of one transaction at the owner. It is not safe for
// concurrent use.
type Transaction struct {
	// keyed tells that it carries an idempotency key.
	keyed bool
	phase phase
	// commits tells that a statement that may commit was forwarded.
	commits  bool
	position logpos.Position
}

// New returns a transaction that has not been sent.
func New(keyed bool) *Transaction { return &Transaction{keyed: keyed} }

// Handle takes in an event and returns what is to be done. After an end it
// returns nothing.
func (t *Transaction) Handle(e Event) []Action {
	if t.phase == over {
		return nil
	}
	switch x := e.(type) {
	case Forwarded:
		t.commits = t.commits || x.MayCommit
	case Committed:
		t.position = logpos.Max(t.position, x.Position)
	case Answered:
		return t.answered()
	case Disconnected:
		return t.lost()
	case Durable:
		return t.end(awaiting, Done{Position: t.position})
	case TermSuperseded:
		return t.superseded()
	case PositionResolved:
		return t.settled(x)
	case KeyResolved:
		return t.found(x)
	case Expired:
		return t.expired()
	}
	return nil
}

// end finishes the transaction if it is in the given phase.
func (t *Transaction) end(in phase, a Action) []Action {
	if t.phase != in {
		return nil
	}
	t.phase = over
	return []Action{a}
}

func (t *Transaction) answered() []Action {
	if t.phase != open {
		return nil
	}
	if t.position.IsZero() {
		t.commits = false
		return []Action{Done{}}
	}
	t.phase = awaiting
	return []Action{AwaitMajority{Position: t.position}}
}

func (t *Transaction) lost() []Action {
	switch {
	case t.phase != open:
		return nil
	case !t.position.IsZero():
		t.phase = awaiting
		return []Action{AwaitMajority{Position: t.position}}
	case !t.commits:
		return t.end(open, NotRun{Reason: ConnectionLost})
	case t.keyed:
		t.phase = resolvingKey
		return []Action{ResolveKey{}}
	default:
		return t.end(open, InDoubt{Reason: ConnectionLost})
	}
}

func (t *Transaction) superseded() []Action {
	if t.phase != awaiting {
		return nil
	}
	t.phase = resolvingPosition
	return []Action{ResolvePosition{Position: t.position}}
}

func (t *Transaction) settled(x PositionResolved) []Action {
	if x.Present {
		return t.end(resolvingPosition, Done{Position: t.position})
	}
	return t.end(resolvingPosition, NotRun{Reason: LostWithTerm})
}

func (t *Transaction) found(x KeyResolved) []Action {
	if x.Present {
		return t.end(resolvingKey, Done{Position: x.Position})
	}
	return t.end(resolvingKey, NotRun{Reason: KeyAbsent})
}

func (t *Transaction) expired() []Action {
	switch t.phase {
	case awaiting:
		return t.end(awaiting, InDoubt{Reason: MajorityTimeout})
	case resolvingPosition:
		return t.end(resolvingPosition, InDoubt{Reason: TermEnded})
	case resolvingKey:
		return t.end(resolvingKey, InDoubt{Reason: ConnectionLost})
	case open:
		return t.lost()
	default:
		return nil
	}
}
